package soak

import (
	"fmt"
	"net/http"
	"sync/atomic"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// workerSlot is one address at which workers serve, one after the other.
type workerSlot struct {
	service string
	// domain is the failure domain of the workers.
	domain string
	public string
	worker atomic.Pointer[hosted.Worker]
	// announcesLeaving reports whether the current worker announces that it leaves.
	announcesLeaving bool
	// all are the workers that served there, in order.
	all   []*hosted.Worker
	proxy *faultProxy
}

// ServeHTTP serves a request with the current worker.
func (s *workerSlot) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.worker.Load().ServeHTTP(w, r)
}

func (s *soak) addSlot(service string, number int) {
	host := number + 1
	if service == "plain" {
		host += 120
	}
	slot := &workerSlot{service: service, domain: fmt.Sprint("domain-of-workers-", number%workerDomains), public: fmt.Sprintf("%s.251.%d:7200", s.net, host)}
	s.store.SetDomain(slot.public, slot.domain)
	s.slots = append(s.slots, slot)
	s.startWorker(slot)
	direct := fmt.Sprintf("%s.252.%d:7200", s.net, host)
	s.serve(direct, slot)
	slot.proxy = s.addProxy(slot.public, direct)
}

// startWorker replaces the worker of a slot by a new one and publishes it.
func (s *soak) startWorker(slot *workerSlot) {
	worker := hosted.NewWorker(fmt.Sprintf("%s-%s-%d", slot.service, slot.public, len(slot.all)))
	worker.Events = streamEvents
	worker.RetryAfter = fmt.Sprint(retryAfter.Seconds())
	slot.announcesLeaving = false
	slot.all = append(slot.all, worker)
	slot.worker.Store(worker)
	s.store.PutEndpoint(worker.ID, slot.service, slot.public, "ready")
}
