package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

// knowledgePath is where a VM tells others what it knows.
const knowledgePath = "/v1/knowledge"

// placesPath is where a VM tells others where prompt parts are.
const placesPath = "/v1/places"

func (g *Gateway) controlMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+knowledgePath, g.serveKnowledge)
	mux.HandleFunc("GET "+placesPath, func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, g.table.Places())
	})
	return mux
}

// peerAddress is where other VMs reach this one. The port is the same on all.
func (g *Gateway) peerAddress() string {
	return net.JoinHostPort(g.settings.IP, strconv.Itoa(g.settings.FirstPeerPort))
}

func (g *Gateway) serveKnowledge(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	incarnation, err := strconv.ParseInt(query.Get("incarnation"), 10, 64)
	if err != nil {
		jsonhttp.WriteError(w, code.New(code.InvalidParameter, "incarnation is not a number"))
		return
	}
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		jsonhttp.WriteError(w, code.New(code.InvalidParameter, "from is not a number"))
		return
	}
	wait, err := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err != nil || wait < 0 {
		jsonhttp.WriteError(w, code.New(code.InvalidParameter, "wait_ms is not a number of milliseconds"))
		return
	}
	arrived := clock.Now()
	if incarnation == g.incarnation {
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
		defer cancel()
		g.tracker.Await(ctx, from)
	}
	now := clock.Now()
	share := g.tracker.Share(g.incarnation, incarnation, from, now)
	share.WaitedMS = now.Sub(arrived).Milliseconds()
	jsonhttp.Write(w, share)
}
