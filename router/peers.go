package router

import (
	"context"
	"net/http"
	"time"

	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/peer"
)

// peersMux returns the handler of the API for other routers.
func (r *Router) peersMux() http.Handler {
	secret := r.settings.Secret
	mux := http.NewServeMux()
	control := func(path string, handler http.Handler) {
		mux.Handle("POST "+path, peer.CountBytes(&r.controlBytes, handler))
	}
	control(heartbeatPath, peer.Handle(secret, r.serveHeartbeat))
	control(indirectPath, peer.Handle(secret, r.serveIndirect))
	control(pushPath, peer.Handle(secret, r.servePush))
	control(listPath, peer.Handle(secret, r.serveList))
	control(stampsPath, peer.Handle(secret, r.serveStamps))
	control(unitsPath, peer.Handle(secret, r.serveUnits))
	control(leasePath, peer.Handle(secret, r.serveLease))
	work := func(path string, handler http.Handler) {
		mux.Handle("POST "+path, peer.DropAbandoned(handler))
	}
	work(workPath, peer.HandleStream(secret, r.serveWork))
	work(resumePath, peer.HandleStream(secret, r.serveResumeOrder))
	mux.Handle("POST "+cancelPath, peer.Handle(secret, r.serveCancelOrder))
	mux.Handle("POST "+takenPath, peer.Handle(secret, r.serveTaken))
	work(executePath, r.countPeerWork(peer.Handle(secret, r.serveExecute)))
	mux.Handle("POST "+outcomePath, peer.Handle(secret, r.serveOutcomeQuery))
	work(callerKeyExecutePath, r.countPeerWork(peer.Handle(secret, r.serveCallerKeyExecute)))
	mux.Handle("POST "+callerKeyOutcomePath, peer.Handle(secret, r.serveCallerKeyOutcome))
	mux.Handle("POST "+clearancePath, peer.Handle(secret, r.serveClearance))
	mux.Handle("POST "+releasePath, peer.Handle(secret, r.serveRelease))
	mux.Handle("POST "+holderPath, peer.Handle(secret, r.serveHolder))
	guard := peer.NewReplayGuard(r.settings.Peers, milliseconds(r.settings.Timing.ClockSkewMS)+maxMessageDelay)
	return guard.Protect(mux)
}

// countPeerWork counts requests of peers in progress, for which a shutdown waits.
func (r *Router) countPeerWork(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.peerWork.Add(1)
		defer r.peerWork.Add(-1)
		next.ServeHTTP(w, request)
	})
}

// maxMessageDelay is the longest time that a message between routers is assumed to
// take.
const maxMessageDelay = 5 * time.Second

// serveHeartbeat processes a peer's heartbeat and answers with this router's own.
func (r *Router) serveHeartbeat(_ context.Context, beat member.Heartbeat) (member.Heartbeat, error) {
	r.members.HandleHeartbeat(beat, time.Now())
	answer := r.heartbeat(beat.From.Address)
	r.members.AverageMeans(answer.Means, beat.Means)
	if r.behind(beat) {
		r.tasks.Go(func() { r.catchUp(beat) })
	}
	return answer, nil
}

// behind reports whether the sender of a heartbeat has a newer list or a different
// configuration.
func (r *Router) behind(beat member.Heartbeat) bool {
	digest := r.store.Digest()
	return beat.ListVersion > r.members.View().List.Version || beat.Root != digest.Root()
}

// catchUp fetches what the sender of a heartbeat has and this router lacks. The
// confirmation ages in the heartbeat are ignored, since the message may have been
// delayed.
func (r *Router) catchUp(beat member.Heartbeat) {
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	if beat.ListVersion > r.members.View().List.Version {
		r.syncList(ctx, beat.From.Address)
	}
	beat.ConfigAgeMS = -1
	r.syncConfigFromHeartbeat(ctx, beat, time.Now())
}

// serveIndirect probes a peer on behalf of another router.
func (r *Router) serveIndirect(ctx context.Context, request indirectRequest) (emptyAnswer, error) {
	return emptyAnswer{}, r.exchangeHeartbeat(ctx, request.Address)
}

// serveList answers with the changes of the list of VMs after a version.
func (r *Router) serveList(_ context.Context, request listRequest) (listAnswer, error) {
	view := r.members.View()
	return listAnswer{List: r.members.ListSince(request.After), AgeMS: ageMS(view.ConfirmedAt, time.Now())}, nil
}

// serveStamps answers with the stamps of the units that differ from a peer's
// digest.
func (r *Router) serveStamps(_ context.Context, request stampsRequest) (stampsAnswer, error) {
	answer := stampsAnswer{Revision: r.store.Snapshot().Revision, AgeMS: r.configConfirmation.ageMS(time.Now())}
	answer.Stamps = r.store.Stamps(request.Digest)
	return answer, nil
}

// serveUnits answers with units by name.
func (r *Router) serveUnits(_ context.Context, request unitsRequest) (unitsMessage, error) {
	return unitsMessage{Units: r.store.Units(request.Names, maxUnitsMessageBytes)}, nil
}

// heartbeat returns the heartbeat to send to the peer at address to.
func (r *Router) heartbeat(to string) member.Heartbeat {
	now := time.Now()
	digest := r.store.Digest()
	beat := member.Heartbeat{
		Stale:       r.sleepGuard.Check(now) != nil,
		ListAgeMS:   ageMS(r.members.View().ConfirmedAt, now),
		Revision:    r.store.Snapshot().Revision,
		ConfigAgeMS: r.configConfirmation.ageMS(now),
		Root:        digest.Root(),
	}
	r.members.Fill(&beat, to)
	return beat
}
