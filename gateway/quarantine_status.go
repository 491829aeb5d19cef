package gateway

import (
	"cardamompoint.example/cardamompoint/gateway/quarantine"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// QuarantineStatus describes prompt parts on which engines crash. Requests that have all of them
// are refused.
type QuarantineStatus struct {
	// Parts are the IDs of the parts in hexadecimal, separated by commas.
	Parts string `json:"parts"`
	// Crashes is the number of independent crashes.
	Crashes int `json:"crashes"`
	// LeftMS is when the next request may try again, in milliseconds from now.
	LeftMS int64 `json:"left_ms"`
}

func quarantineStatus(q quarantine.Quarantine, now clock.Boot) QuarantineStatus {
	return QuarantineStatus{Parts: traffic.FormatPartIDs(q.Parts), Crashes: q.Crashes, LeftMS: q.Until.Sub(now).Milliseconds()}
}

// quarantineOf returns the quarantine of requests with the given parts, nil if there is none.
func (g *Gateway) quarantineOf(parts []uint64, now clock.Boot) *QuarantineStatus {
	q, found := g.crashes.Find(parts, now)
	if !found {
		return nil
	}
	status := quarantineStatus(q, now)
	return &status
}

// quarantineCount returns the number of quarantines in force.
func (g *Gateway) quarantineCount() int64 {
	return int64(len(g.crashes.Quarantines(clock.Now())))
}
