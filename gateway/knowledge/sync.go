package knowledge

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/compress"
	"cardamompoint.example/cardamompoint/platform"
)

// SyncResponse is the part of a VM's data that the sender of a SyncRequest lacks.
type SyncResponse struct {
	// Full reports whether Entries are all that exist, not only the changed ones.
	Full bool `json:"whole,omitempty"`
	// Configuration is the gzip-compressed configuration, empty if the requester has it.
	Configuration []byte `json:"configuration,omitempty"`
	// ConfigurationRevision is the revision of Configuration.
	ConfigurationRevision int64 `json:"configuration_revision,omitempty"`
	// Entries are entries of endpoints, and deletions.
	Entries []platform.Item `json:"entries,omitempty"`
	// Revision is the store's revision that the responder's data is complete up to.
	Revision int64 `json:"revision"`
	// AgeMS is the maximum age of the responder's data when it responds, in
	// milliseconds; -1 if it has none.
	AgeMS int64 `json:"age_ms"`
	// WaitedMS is how long the responder waited for a change before it responded, in
	// milliseconds.
	WaitedMS int64 `json:"waited_ms,omitempty"`
}

// SyncRequest is what a VM already has when it requests data from another one.
type SyncRequest struct {
	// Revision is the store's revision that the requester's data is complete up to; 0
	// requests everything. A responder that does not know all deletions since then also
	// sends everything.
	Revision int64
	// ConfigurationRevision is the revision of the requester's configuration.
	ConfigurationRevision int64
	// NewestRevision is the highest revision of a change that the requester has applied.
	NewestRevision int64
}

// SyncRequest returns the request for what this Tracker lacks.
func (t *Tracker) SyncRequest() SyncRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return SyncRequest{Revision: t.revision, ConfigurationRevision: t.configurationItem.Revision, NewestRevision: t.newest.Load()}
}

// WaitForChange waits until a change newer than the revision newest is applied, the data is
// confirmed anew, or ctx ends.
func (t *Tracker) WaitForChange(ctx context.Context, newest int64) {
	confirmed := t.confirmed.Load()
	for {
		t.mu.Lock()
		updated := t.updated
		t.mu.Unlock()
		if t.newest.Load() > newest || t.confirmed.Load() != confirmed {
			return
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return
		}
	}
}

// SyncResponse returns what the requester lacks. It includes all tombstones, unless the
// response is full: the deletion of a held entry has a lower revision than the requester's
// when it becomes final.
func (t *Tracker) SyncResponse(request SyncRequest, now clock.Boot) SyncResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	full := request.Revision == 0 || request.Revision < t.deletionsSince
	response := SyncResponse{Full: full, Revision: t.revision, AgeMS: -1}
	if at, ok := t.ConfirmedAt(); ok {
		response.AgeMS = now.Sub(at).Milliseconds() + 1
	}
	if t.configurationItem.Revision > request.ConfigurationRevision {
		response.Configuration, response.ConfigurationRevision = t.compressConfiguration(), t.configurationItem.Revision
	}
	for _, entry := range t.entries {
		if full || entry.Revision > request.Revision {
			response.Entries = append(response.Entries, entry)
		}
	}
	for key, deletion := range t.tombstones {
		if !response.Full {
			response.Entries = append(response.Entries, platform.Item{Key: key, Revision: deletion.revision, Deleted: true})
		}
	}
	return response
}

// compressConfiguration returns the compressed configuration, nil if there was an error. It
// keeps the result since many VMs request the same large configuration at once. The caller
// holds the lock.
func (t *Tracker) compressConfiguration() []byte {
	if t.compressedConfiguration != nil {
		return t.compressedConfiguration
	}
	var buffer bytes.Buffer
	if err := compress.Write(&buffer, t.configurationItem.Value); err != nil {
		klog.ErrorS(err, "config: compressing the configuration failed")
		return nil
	}
	t.compressedConfiguration = buffer.Bytes()
	return t.compressedConfiguration
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

// update converts a response to an Update. requestedAt is when the request was sent.
func (s *SyncResponse) update(requestedAt clock.Boot) (Update, error) {
	update := Update{Items: s.Entries, Full: s.Full, Revision: s.Revision, DeletionsFinal: true}
	if len(s.Configuration) > 0 {
		value, err := decompress(s.Configuration)
		if err != nil {
			return update, err
		}
		update.Items = append(update.Items, platform.Item{Key: platform.ConfigurationKey, Value: value, Revision: s.ConfigurationRevision})
	}
	if s.AgeMS >= 0 {
		// The responder received the request after requestedAt and measured AgeMS at least
		// WaitedMS later, so this is never later than the true time.
		update.ConfirmedAt = requestedAt.Add(time.Duration(s.WaitedMS-s.AgeMS) * time.Millisecond)
	}
	return update, nil
}
