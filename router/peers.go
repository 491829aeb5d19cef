package router

import (
	"context"
	"net/http"
	"time"

	"cardamompoint.example/cardamompoint/member"
	"cardamompoint.example/cardamompoint/peer"
	"cardamompoint.example/cardamompoint/platform"
)

const (
	heartbeatPath = "/peer/v1/heartbeat"
	changesPath   = "/peer/v1/changes"
)

// knownState is what a router tells a peer that asks what is published.
type knownState struct {
	// Changes are the documents that the asker has not got.
	Changes platform.Changes `json:"changes"`
	// List is the newest list of VMs.
	List platform.VMs `json:"list"`
}

// changesRequest asks a peer for what is published.
type changesRequest struct {
	// After is the asker's revision.
	After int64 `json:"after"`
}

// peersMux returns the handler for the other routers.
func (r *Router) peersMux() http.Handler {
	secret := r.settings.Secret
	mux := http.NewServeMux()
	mux.Handle("POST "+heartbeatPath, peer.Handle(secret, r.serveHeartbeat))
	mux.Handle("POST "+leasePath, peer.Handle(secret, r.serveLease))
	mux.Handle("POST "+changesPath, peer.Handle(secret, r.serveChanges))
	mux.Handle("POST "+workPath, peer.HandleStream(secret, r.serveWork))
	mux.Handle("POST "+resumePath, peer.HandleStream(secret, r.serveResumeOrder))
	mux.Handle("POST "+cancelPath, peer.Handle(secret, r.serveCancelOrder))
	mux.Handle("POST "+takenPath, peer.Handle(secret, r.serveTaken))
	mux.Handle("POST "+executePath, r.countPeerWork(peer.Handle(secret, r.serveExecute)))
	mux.Handle("POST "+outcomePath, peer.Handle(secret, r.serveInquiry))
	mux.Handle("POST "+ownExecutePath, r.countPeerWork(peer.Handle(secret, r.serveOwnExecute)))
	mux.Handle("POST "+ownOutcomePath, peer.Handle(secret, r.serveOwnOutcome))
	mux.Handle("POST "+clearPath, peer.Handle(secret, r.serveClear))
	mux.Handle("POST "+releasePath, peer.Handle(secret, r.serveRelease))
	mux.Handle("POST "+holderPath, peer.Handle(secret, r.serveHolder))
	return mux
}

// countPeerWork counts requests of peers that a shutdown waits for.
func (r *Router) countPeerWork(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.peerWork.Add(1)
		defer r.peerWork.Add(-1)
		next.ServeHTTP(w, request)
	})
}

func (r *Router) serveHeartbeat(_ context.Context, beat member.Heartbeat) (member.Heartbeat, error) {
	r.members.Heard(beat, time.Now())
	return r.heartbeat(), nil
}

func (r *Router) serveChanges(_ context.Context, request changesRequest) (knownState, error) {
	return knownState{Changes: r.store.Since(request.After), List: r.members.View().List}, nil
}

// heartbeat returns what this router tells of itself.
func (r *Router) heartbeat() member.Heartbeat {
	return member.Heartbeat{
		From:        r.members.Self(),
		Leaving:     r.draining.Load(),
		ListVersion: r.members.View().List.Version,
		Revision:    r.store.Snapshot().Revision,
		Loads:       r.ledger.Sums(),
	}
}
