package knowledge

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/platform"
)

// SyncResponse is the part of a VM's data that the sender of a SyncRequest lacks.
type SyncResponse struct {
	// Full reports whether Entries are all that exist, not only the changed ones.
	Full bool `json:"whole,omitempty"`
	// Configuration is the gzip-compressed configuration, empty if the requester has it.
	Configuration []byte `json:"configuration,omitempty"`
	// ConfigurationPosition is the position of Configuration.
	ConfigurationPosition traffic.Position `json:"configuration_position,omitzero"`
	// Entries are entries of endpoints, and deletions.
	Entries []platform.Item `json:"entries,omitempty"`
	// Evacuations are all evacuations in force.
	Evacuations []platform.Item `json:"evacuations,omitempty"`
	// LastWrites are the last known writes of deleted entries by key, in full responses.
	LastWrites map[string]traffic.Write `json:"last_writes,omitempty"`
	// Held are the deletions that the responder holds.
	Held []platform.Item `json:"held,omitempty"`
	// HoldMS is how long the responder still holds Held, in milliseconds.
	HoldMS int64 `json:"hold_ms,omitempty"`
	// DoubtMS is how long entries of a restored copy are still to be doubted, in milliseconds.
	DoubtMS int64 `json:"doubt_ms,omitempty"`
	// AvailableMS and AvailableUntilMS are how long ago the last span began and ended in which the
	// store was available as far as the responder knows, in milliseconds; 0 if it knows of none.
	AvailableMS      int64 `json:"available_ms,omitempty"`
	AvailableUntilMS int64 `json:"available_until_ms,omitempty"`
	// Position is the position that the responder's data is complete up to.
	Position traffic.Position `json:"position"`
	// Newest is the position of the newest change that the responder has applied.
	Newest traffic.Position `json:"newest"`
	// AgeMS is the maximum age of the responder's data when it responds, in
	// milliseconds; -1 if it has none.
	AgeMS int64 `json:"age_ms"`
	// WaitedMS is how long the responder waited for a change before it responded, in
	// milliseconds.
	WaitedMS int64 `json:"waited_ms,omitempty"`
}

// SyncRequest is what a VM already has when it requests data from another one.
type SyncRequest struct {
	// Position is the position that the requester's data is complete up to; the zero Position
	// requests everything. A responder that does not know all deletions since then also
	// sends everything.
	Position traffic.Position
	// ConfigurationVersion is the version of the requester's configuration.
	ConfigurationVersion int64
	// Newest is the position of the newest change that the requester has applied.
	Newest traffic.Position
}

// SyncRequest returns the request for what this Tracker lacks.
func (t *Tracker) SyncRequest() SyncRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return SyncRequest{Position: t.position, ConfigurationVersion: t.configuration.version(), Newest: t.Newest()}
}

// WaitForChange waits until this Tracker has applied a change that the requester lacks, the data is
// confirmed anew, or ctx ends.
func (t *Tracker) WaitForChange(ctx context.Context, request SyncRequest) {
	confirmed := t.confirmed.Load()
	for {
		t.mu.Lock()
		updated, version := t.updated, t.configuration.version()
		t.mu.Unlock()
		if t.Newest().After(request.Newest) || version > request.ConfigurationVersion || t.confirmed.Load() != confirmed {
			return
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return
		}
	}
}

// SyncResponse returns what the requester lacks; a requester that knows a later era lacks at most
// the configuration.
func (t *Tracker) SyncResponse(request SyncRequest, now clock.Boot) SyncResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	response := SyncResponse{Position: t.position, Newest: t.Newest(), AgeMS: -1}
	if at, ok := t.ConfirmedAt(); ok {
		response.AgeMS = now.Sub(at).Milliseconds() + 1
	}
	response.setAvailable(t.entries.settling.available, now)
	if t.configuration.version() > request.ConfigurationVersion {
		response.Configuration, response.ConfigurationPosition = t.configuration.compress(), t.configuration.item.Position()
	}
	if request.Position.Era <= t.position.Era {
		response.Full = request.Position.IsZero() || t.entries.deletionsSince.After(request.Position)
		response.Entries = t.entries.since(request.Position, response.Full, now)
		response.Evacuations = t.evacuations.items()
		if response.Full {
			response.LastWrites = t.entries.lastWrites()
		}
		response.HoldMS = t.entries.settling.holdLeft(now).Milliseconds()
		response.DoubtMS = t.entries.settling.doubtLeft(now).Milliseconds()
		response.Held = t.entries.settling.heldDeletions()
	}
	return response
}

// maxConfigurationBytes bounds a decompressed configuration.
const maxConfigurationBytes = 16 << 20

// decompress decompresses a configuration and drops what exceeds maxConfigurationBytes. Errors
// have the code code.InvalidDocument.
func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, code.Wrap(err, code.InvalidDocument, "decompressing a peer's configuration failed")
	}
	value, err := io.ReadAll(io.LimitReader(reader, maxConfigurationBytes))
	if err != nil {
		return nil, code.Wrap(err, code.InvalidDocument, "decompressing a peer's configuration failed")
	}
	return value, nil
}

// update converts a response to an Update. requestedAt is when the request was sent, receivedAt when the
// response had arrived.
func (s *SyncResponse) update(requestedAt, receivedAt clock.Boot) (Update, error) {
	update := Update{Items: s.Entries, Held: s.Held, LastWrites: s.LastWrites, Full: s.Full, Era: s.Position.Era, Revision: s.Position.Revision, Newest: s.Newest, DeletionsFinal: true, EvacuationsComplete: true}
	update.Items = append(update.Items, s.Evacuations...)
	if len(s.Configuration) > 0 {
		value, err := decompress(s.Configuration)
		if err != nil {
			return update, err
		}
		at := s.ConfigurationPosition
		update.Items = append(update.Items, platform.Item{Key: platform.ConfigurationKey, Value: value, Era: at.Era, Revision: at.Revision})
	}
	update.Available = s.available(requestedAt, receivedAt)
	update.HoldUntil = requestedAt.Add(time.Duration(s.WaitedMS+s.HoldMS) * time.Millisecond)
	if s.DoubtMS > 0 {
		update.DoubtUntil = requestedAt.Add(time.Duration(s.WaitedMS+s.DoubtMS) * time.Millisecond)
	}
	if s.AgeMS >= 0 {
		// The responder received the request after requestedAt and measured AgeMS at least
		// WaitedMS later, so this is never later than the true time.
		update.ConfirmedAt = requestedAt.Add(time.Duration(s.WaitedMS-s.AgeMS) * time.Millisecond)
	}
	return update, nil
}
