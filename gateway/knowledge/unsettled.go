package knowledge

import (
	"sort"
	"strings"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/platform"
)

// UnsettledReason is why an entry is unsettled: the store does not show yet whether it is valid.
type UnsettledReason string

// Values of UnsettledReason.
const (
	// ReasonHeld means that the entry is gone from the store, but may only have expired. The
	// endpoint is used.
	ReasonHeld UnsettledReason = "held"
	// ReasonDoubted means that the store came back from a copy and lists an entry that is older
	// than the known one, which stays in use.
	ReasonDoubted UnsettledReason = "doubted"
)

// UnsettledEntry is an entry that is held or doubted.
type UnsettledEntry struct {
	Endpoint string          `json:"endpoint"`
	Reason   UnsettledReason `json:"reason"`
	// Position is the position of the deletion or of the doubted entry.
	Position traffic.Position `json:"position"`
}

// Unsettled returns the unsettled entries, sorted by endpoint.
func (t *Tracker) Unsettled() []UnsettledEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unsettled []UnsettledEntry
	for key, deletion := range t.entries.settling.held {
		unsettled = append(unsettled, UnsettledEntry{strings.TrimPrefix(key, platform.EndpointPrefix), ReasonHeld, deletion.Position()})
	}
	for key, item := range t.entries.settling.doubted {
		unsettled = append(unsettled, UnsettledEntry{strings.TrimPrefix(key, platform.EndpointPrefix), ReasonDoubted, item.Position()})
	}
	sort.Slice(unsettled, func(i, j int) bool { return unsettled[i].Endpoint < unsettled[j].Endpoint })
	return unsettled
}
