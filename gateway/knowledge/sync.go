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

// Share is what one VM tells another of its knowledge.
type SyncResponse struct {
	// Whole tells that the other items are everything, not changes.
	Full bool `json:"whole,omitempty"`
	// Configuration is the compressed configuration, empty if the asker has it.
	Configuration []byte `json:"configuration,omitempty"`
	// ConfigurationRevision is the revision of Configuration.
	ConfigurationRevision int64 `json:"configuration_revision,omitempty"`
	// Entries are those of endpoints, and deletions of some.
	Entries []platform.Item `json:"entries,omitempty"`
	// Revision is the store's revision that the sender knows everything up to.
	Revision int64 `json:"revision"`
	// AgeMS is how old the sender's knowledge may be when it answers, in
	// milliseconds; -1 if it has none.
	AgeMS int64 `json:"age_ms"`
	// WaitedMS is how long the sender waited before it answered, in milliseconds.
	WaitedMS int64 `json:"waited_ms,omitempty"`
}

// Question is what a VM knows when it asks another one.
type SyncRequest struct {
	// Revision is the store's revision that the asker knows everything up to; 0
	// asks for everything.
	Revision int64
	// Configuration is the revision of the asker's configuration.
	ConfigurationRevision int64
	// Newest is the revision of the newest change that the asker has applied.
	NewestRevision int64
}

// Question returns the question that asks for what this Tracker lacks.
func (t *Tracker) SyncRequest() SyncRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return SyncRequest{Revision: t.revision, ConfigurationRevision: t.configurationItem.Revision, NewestRevision: t.newest.Load()}
}

// Await waits until there is a change newer than newest, or the knowledge was
// confirmed anew, until ctx ends.
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

// Share returns what the asker lacks. Deletions that were decided lately are
// always told, since those of held entries are older than what the asker knows.
func (t *Tracker) SyncResponse(request SyncRequest, now clock.Boot) SyncResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	response := SyncResponse{Full: request.Revision == 0, Revision: t.revision, AgeMS: -1}
	if at, ok := t.ConfirmedAt(); ok {
		response.AgeMS = now.Sub(at).Milliseconds() + 1
	}
	if t.configurationItem.Revision > request.ConfigurationRevision {
		response.Configuration, response.ConfigurationRevision = t.compressConfiguration(), t.configurationItem.Revision
	}
	for _, entry := range t.entries {
		if entry.Revision > request.Revision {
			response.Entries = append(response.Entries, entry)
		}
	}
	for key, stone := range t.tombstones {
		if !response.Full {
			response.Entries = append(response.Entries, platform.Item{Key: key, Revision: stone.revision, Deleted: true})
		}
	}
	return response
}

// pack returns the compressed configuration. A configuration is long and many
// VMs ask for it at once.
func (t *Tracker) compressConfiguration() []byte {
	if t.compressedConfiguration != nil {
		return t.compressedConfiguration
	}
	var buffer bytes.Buffer
	if err := compress.Write(&buffer, t.configurationItem.Value); err != nil {
		klog.ErrorS(err, "config: the configuration can't be compressed")
		return nil
	}
	t.compressedConfiguration = buffer.Bytes()
	return t.compressedConfiguration
}

// maxConfiguration bounds an unpacked configuration, in bytes.
const maxConfigurationBytes = 16 << 20

func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, code.Wrap(err, code.InvalidDocument, "a peer's configuration can't be unpacked")
	}
	value, err := io.ReadAll(io.LimitReader(reader, maxConfigurationBytes))
	if err != nil {
		return nil, code.Wrap(err, code.InvalidDocument, "a peer's configuration can't be unpacked")
	}
	return value, nil
}

// update turns a share into an update. asked is when the question was sent.
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
		// The sender was asked after asked and answered WaitedMS later at least.
		update.ConfirmedAt = requestedAt.Add(time.Duration(s.WaitedMS-s.AgeMS) * time.Millisecond)
	}
	return update, nil
}
