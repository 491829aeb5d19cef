package gateway

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

// knowledgePath is where a VM serves its configuration and endpoints to other VMs.
const knowledgePath = "/v1/knowledge"

// locationsPath is where a VM serves the known locations of prompt parts to other VMs.
const locationsPath = "/v1/places"

func (g *Gateway) controlMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+knowledgePath, g.serveKnowledge)
	mux.HandleFunc("GET "+StatusPath, g.serveStatus)
	mux.HandleFunc("GET "+ExplainPath, g.serveExplain)
	mux.HandleFunc("GET "+locationsPath, g.serveLocations)
	return mux
}

// peerAddress returns the address at which other VMs reach this one. The port is the same on
// all VMs.
func (g *Gateway) peerAddress() string {
	return net.JoinHostPort(g.settings.IP, strconv.Itoa(g.settings.FirstPeerPort))
}

// Parameters of a request for knowledge: the fields of a knowledge.SyncRequest, and for how long, in
// milliseconds, the VM waits for a change at most.
const (
	paramEra            = "era"
	paramRevision       = "revision"
	paramVersion        = "version"
	paramNewestEra      = "newest_era"
	paramNewestRevision = "newest_revision"
	paramWaitMS         = "wait_ms"
)

// serveKnowledge responds with a knowledge.SyncResponse.
func (g *Gateway) serveKnowledge(w http.ResponseWriter, r *http.Request) {
	request, wait, err := parseSyncQuery(r.URL.Query())
	if err != nil {
		jsonhttp.WriteError(w, err)
		return
	}
	arrived := clock.Now()
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	g.tracker.WaitForChange(ctx, request)
	now := clock.Now()
	response := g.tracker.SyncResponse(request, now)
	response.WaitedMS = now.Sub(arrived).Milliseconds()
	jsonhttp.WriteCompressed(w, r, response)
}

// parseSyncQuery is the reverse of syncQuery. Errors have the code code.InvalidParameter.
func parseSyncQuery(query url.Values) (request knowledge.SyncRequest, wait time.Duration, err error) {
	var waitMS int64
	for name, value := range map[string]*int64{
		paramEra:            &request.Position.Era,
		paramRevision:       &request.Position.Revision,
		paramVersion:        &request.ConfigurationVersion,
		paramNewestEra:      &request.Newest.Era,
		paramNewestRevision: &request.Newest.Revision,
		paramWaitMS:         &waitMS,
	} {
		*value, err = strconv.ParseInt(query.Get(name), 10, 64)
		if err != nil || *value < 0 {
			return request, 0, code.New(code.InvalidParameter, "%s is not a number", name)
		}
	}
	return request, time.Duration(waitMS) * time.Millisecond, nil
}

// serveLocations responds with the known locations, packed by gossip.PackPartLocations.
func (g *Gateway) serveLocations(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/octet-stream")
	if _, err := w.Write(gossip.PackPartLocations(g.table.KnownLocations())); err != nil {
		klog.V(1).InfoS("place: sending known locations to a peer failed", "reason", err.Error())
	}
}
