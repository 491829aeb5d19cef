package router

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/router/api"
)

// operatorsMux returns the handler for operators and the load balancer.
func (r *Router) operatorsMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", r.serveReady)
	mux.Handle("GET /metrics", r.metrics.Handler())
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, r.Status())
	})
	mux.HandleFunc("GET /explain", r.serveExplain)
	return mux
}

// serveReady handles GET /readyz for the load balancer.
func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if r.draining.Load() {
		jsonhttp.WriteError(w, code.New(code.Draining, "the router is shutting down"))
		return
	}
	if !r.ready() {
		jsonhttp.WriteError(w, code.New(code.NotReady, "the router has no configuration yet"))
		return
	}
	w.Write([]byte("ready\n"))
}

// serveExplain handles GET /explain.
func (r *Router) serveExplain(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	explanation, err := r.explain(query.Get("workspace"), query.Get("chat"))
	if err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	jsonhttp.Write(w, explanation)
}

// Status returns the router's own state and its view of the peers.
func (r *Router) Status() api.Status {
	self, view, snapshot := r.members.Self(), r.members.View(), r.store.Snapshot()
	now := time.Now()
	status := api.Status{
		Name:         self.Name,
		Address:      self.Address,
		Incarnation:  self.Incarnation,
		Ready:        r.ready(),
		Revision:     snapshot.Revision,
		ListVersion:  view.List.Version,
		InProgress:   r.inProgress.Load(),
		Records:      r.records.Len(),
		ControlBytes: r.controlBytes.Total(),
		Refused:      map[string]string{},
	}
	digest := r.store.Digest()
	status.Digest = digest.Root()
	status.Reader = isReader(view, self)
	status.Stale = r.sleepGuard.Check(now) != nil
	status.ListAgeMS = ageMS(view.ConfirmedAt, now)
	status.ConfigAgeMS = r.configConfirmation.ageMS(now)
	for key, fault := range snapshot.Refused {
		status.Refused[key] = fault.Error()
	}
	status.Workspaces = r.workspaceStatus()
	status.Engines = r.engineStatus()
	for _, p := range r.members.Peers(now) {
		status.Peers = append(status.Peers, api.PeerStatus{
			Address:  p.Heartbeat.From.Address,
			Name:     p.Heartbeat.From.Name,
			Health:   string(p.Health),
			Revision: p.Heartbeat.Revision,

			Suspected: p.Suspected,
			HeardMS:   ageMS(p.HeardAt, now),
		})
	}
	return status
}

// workspaceStatus returns the versions in force of all workspaces, sorted by name.
func (r *Router) workspaceStatus() []api.WorkspaceStatus {
	var statuses []api.WorkspaceStatus
	for name, rules := range r.store.Snapshot().Workspaces {
		statuses = append(statuses, api.WorkspaceStatus{
			Workspace:        name,
			TemplateVersion:  rules.TemplateVersion,
			ParameterVersion: rules.ParameterVersion,
		})
	}
	slices.SortFunc(statuses, func(a, b api.WorkspaceStatus) int {
		return strings.Compare(a.Workspace, b.Workspace)
	})
	return statuses
}

// engineStatus returns the load of the engines to which this router admits work,
// sorted by address.
func (r *Router) engineStatus() []api.EngineStatus {
	view, self := r.members.View(), r.members.Self().Address
	var statuses []api.EngineStatus
	for _, model := range r.store.Snapshot().Models {
		for _, vm := range view.Group(model.Group) {
			if r.homeOf(view, vm.Address) != self {
				continue
			}
			requests, tokens := r.loadTracker.Load(vm.Address)
			statuses = append(statuses, api.EngineStatus{Engine: vm.Address, Requests: requests, Tokens: tokens})
		}
	}
	slices.SortFunc(statuses, func(a, b api.EngineStatus) int {
		return strings.Compare(a.Engine, b.Engine)
	})
	return slices.CompactFunc(statuses, func(a, b api.EngineStatus) bool { return a.Engine == b.Engine })
}

// TemplateVersions returns the template versions in force, by workspace.
func (r *Router) TemplateVersions() map[string]int64 {
	names := map[string]int64{}
	for name, rules := range r.store.Snapshot().Workspaces {
		names[name] = rules.TemplateVersion
	}
	return names
}

// ParameterVersion returns the version of a workspace's parameters in force, or 0.
func (r *Router) ParameterVersion(workspace string) int64 {
	rules, err := r.store.Snapshot().Rules(workspace)
	if err != nil {
		return 0
	}
	return rules.ParameterVersion
}
