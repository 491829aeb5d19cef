package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/router/source"
)

// maxBodyBytes bounds a published document and the body of a request to the platform or an
// engine.
const maxBodyBytes = 1 << 20

// Fault is a fault that a test injects into the platform.
type Fault struct {
	// Down reports whether every read fails.
	Down bool `json:"down,omitempty"`
	// Silent reports whether reads hang without a response.
	Silent bool `json:"silent,omitempty"`
	// StaleRevision is the revision at which the configuration is shown. 0 means the current
	// revision.
	StaleRevision int64 `json:"stale_revision,omitempty"`
}

// Platform is a stand-in for the platform's service. Routers read from it; operators and tests
// write to it. It is safe for concurrent use.
type Platform struct {
	mu       sync.Mutex
	revision int64
	history  []source.Document
	newest   map[string]source.Document
	list     *source.VersionedList
	fault    Fault
	changed  chan struct{}
	calls    int64
}

// NewPlatform returns a Platform without documents.
func NewPlatform() *Platform {
	return &Platform{newest: map[string]source.Document{}, list: source.NewVersionedList(), changed: make(chan struct{})}
}

// Publish writes a document and returns its version. If ifVersion is not negative, the write
// fails unless the key currently has this version.
func (p *Platform) Publish(key string, data json.RawMessage, ifVersion int64) (int64, error) {
	if len(data) > maxBodyBytes {
		return 0, code.New(code.BodyTooLarge, "the document is longer than %d bytes", maxBodyBytes)
	}
	return p.write(source.Document{Key: key, Data: data}, ifVersion)
}

// Delete deletes a document and returns the version of the deletion. ifVersion is as in
// Publish.
func (p *Platform) Delete(key string, ifVersion int64) (int64, error) {
	return p.write(source.Document{Key: key, Deleted: true}, ifVersion)
}

func (p *Platform) write(document source.Document, ifVersion int64) (int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.newest[document.Key].Version
	if ifVersion >= 0 && known != ifVersion {
		return 0, code.New(code.VersionConflict, "the key has version %d", known)
	}
	p.revision++
	document.Version = p.revision
	p.newest[document.Key] = document
	p.history = append(p.history, document)
	p.notifyWatchers()
	return document.Version, nil
}

// notifyWatchers wakes the waiting watches. The caller must hold p.mu.
func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetVMs publishes the list of VMs with the next version.
func (p *Platform) SetVMs(vms []source.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.Apply(source.VMList{Version: p.list.Version() + 1, VMs: vms})
}

// SetVMState changes the state of one VM in the list. An empty state removes the VM.
func (p *Platform) SetVMState(address string, state source.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := p.list.Version()
	change := source.VMList{Version: version + 1, After: version}
	for _, vm := range p.list.Full().VMs {
		if vm.Address == address && state != "" {
			vm.State = state
			change.VMs = append(change.VMs, vm)
		}
	}
	if state == "" {
		change.Removed = append(change.Removed, address)
	}
	p.list.Apply(change)
}

// SetFault sets the fault of all further reads.
func (p *Platform) SetFault(fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	p.notifyWatchers()
}

// Calls returns the number of reads. A waiting watch counts as one.
func (p *Platform) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Handler returns the HTTP API of the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/changes", p.serveChanges)
	mux.HandleFunc("GET /v1/vms", p.serveVMs)
	mux.HandleFunc("PUT /operator/v1/values/{key...}", p.servePublish)
	mux.HandleFunc("DELETE /operator/v1/values/{key...}", p.serveDelete)
	mux.HandleFunc("PUT /operator/v1/vms/{address}/{state}", func(w http.ResponseWriter, r *http.Request) {
		state := source.State(r.PathValue("state"))
		if state == "gone" {
			state = ""
		}
		p.SetVMState(r.PathValue("address"), state)
		jsonhttp.Write(w, struct{}{})
	})
	mux.HandleFunc("PUT /test/fault", func(w http.ResponseWriter, r *http.Request) {
		var fault Fault
		if err := jsonhttp.Read(w, r, maxBodyBytes, &fault); err != nil {
			jsonhttp.WriteError(w, err)
			return
		}
		p.SetFault(fault)
		jsonhttp.Write(w, struct{}{})
	})
	mux.HandleFunc("GET /test/calls", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, p.Calls())
	})
	return mux
}

// countRead counts a read and returns the current fault.
func (p *Platform) countRead() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return p.fault
}

// applyFault counts a read and applies the current fault. It reports whether the read has failed.
func (p *Platform) applyFault(w http.ResponseWriter, r *http.Request) bool {
	fault := p.countRead()
	if fault.Silent {
		<-r.Context().Done()
		return true
	}
	if fault.Down {
		jsonhttp.WriteError(w, code.New(code.PlatformSilent, "the platform is down"))
	}
	return fault.Down
}

func (p *Platform) serveChanges(w http.ResponseWriter, r *http.Request) {
	if p.applyFault(w, r) {
		return
	}
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timeout := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timeout.Stop()
	for {
		changes, changed := p.changesAfter(after)
		if len(changes.Values) > 0 || changes.Revision < after {
			jsonhttp.Write(w, changes)
			return
		}
		select {
		case <-changed:
			if p.isDown() {
				jsonhttp.WriteError(w, code.New(code.PlatformSilent, "the platform is down"))
				return
			}
		case <-timeout.C:
			jsonhttp.Write(w, changes)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault.Down
}

// changesAfter returns the newest version of each document that changed after a revision, and a
// channel that is closed at the next change.
func (p *Platform) changesAfter(after int64) (source.Changes, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.revision
	if p.fault.StaleRevision > 0 {
		limit = min(limit, p.fault.StaleRevision)
	}
	newest := map[string]source.Document{}
	for _, document := range p.history {
		if document.Version > after && document.Version <= limit {
			newest[document.Key] = document
		}
	}
	changes := source.Changes{Revision: limit}
	for _, document := range newest {
		changes.Values = append(changes.Values, document)
	}
	slices.SortFunc(changes.Values, func(a, b source.Document) int { return int(a.Version - b.Version) })
	return changes, p.changed
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	if p.applyFault(w, r) {
		return
	}
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	p.mu.Lock()
	list := p.list.Since(after)
	p.mu.Unlock()
	jsonhttp.Write(w, list)
}

// ifVersion returns the if_version parameter, or -1 if there is none.
func ifVersion(r *http.Request) int64 {
	version, err := strconv.ParseInt(r.URL.Query().Get("if_version"), 10, 64)
	if err != nil {
		return -1
	}
	return version
}

func (p *Platform) servePublish(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err == nil && !json.Valid(raw) {
		err = code.New(code.BadRequest, "the document is not valid JSON")
	}
	if err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	version, err := p.Publish(r.PathValue("key"), raw, ifVersion(r))
	writeVersion(w, version, err)
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	version, err := p.Delete(r.PathValue("key"), ifVersion(r))
	writeVersion(w, version, err)
}

func writeVersion(w http.ResponseWriter, version int64, err error) {
	if err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	jsonhttp.Write(w, map[string]int64{"version": version})
}
