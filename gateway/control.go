package gateway

import (
	"context"
	"net"
	"net/http"
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

// serveKnowledge responds with a knowledge.SyncResponse. The query has the fields of the
// knowledge.SyncRequest, and wait_ms, which bounds the wait for a change.
func (g *Gateway) serveKnowledge(w http.ResponseWriter, r *http.Request) {
	var values [4]int64
	for i, name := range []string{"revision", "configuration", "newest", "wait_ms"} {
		value, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
		if err != nil || value < 0 {
			jsonhttp.WriteError(w, code.New(code.InvalidParameter, "%s is not a number", name))
			return
		}
		values[i] = value
	}
	request := knowledge.SyncRequest{Revision: values[0], ConfigurationRevision: values[1], NewestRevision: values[2]}
	arrived := clock.Now()
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(values[3])*time.Millisecond)
	defer cancel()
	g.tracker.WaitForChange(ctx, request.NewestRevision)
	now := clock.Now()
	response := g.tracker.SyncResponse(request, now)
	response.WaitedMS = now.Sub(arrived).Milliseconds()
	jsonhttp.WriteCompressed(w, r, response)
}

// serveLocations responds with the known locations, packed by gossip.PackPartLocations.
func (g *Gateway) serveLocations(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/octet-stream")
	if _, err := w.Write(gossip.PackPartLocations(g.table.KnownLocations())); err != nil {
		klog.V(1).InfoS("place: sending known locations to a peer failed", "reason", err.Error())
	}
}
