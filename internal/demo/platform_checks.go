package demo

import (
	"net/http"
	"strings"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// countEvents returns the number of events in an answer.
func (h *hostedDemo) countEvents(answer hostedAnswer) int {
	return strings.Count(answer.body, "data: piece ")
}

// countRuns returns how often all workers together executed a request, and how many of them
// did.
func (h *hostedDemo) countRuns(id string) (runs, workers int) {
	for _, worker := range h.workers {
		if count := worker.Runs(id); count > 0 {
			runs += count
			workers++
		}
	}
	return runs, workers
}

// checkChat sends one chat to all gateways and checks that the same engine answers.
func (h *hostedDemo) checkChat() {
	engines := map[string]bool{}
	complete := 0
	for i := range 9 {
		answer := h.send(1+i%hostedGateways, "/chat/1")
		if answer.complete && h.countEvents(answer) == hostedEvents {
			complete++
		}
		for id, worker := range h.workers {
			if worker.Runs(answer.id) > 0 {
				engines[id] = true
			}
		}
	}
	h.report.check(complete == 9 && len(engines) == 1, "chat: asked 9 times at %d gateways, %d whole, at %d engine", hostedGateways, complete, len(engines))
}

// checkResume truncates the stream at all workers, then at one engine, and checks that
// streams resume at another engine and are complete.
func (h *hostedDemo) checkResume() {
	for _, worker := range h.workers {
		worker.SetNext(hosted.Truncate)
	}
	answer := h.send(1, "/roster/1")
	for _, worker := range h.workers {
		worker.SetNext()
	}
	resumed := h.send(2, "/roster/1")
	runs, workers := h.countRuns(answer.id)
	h.report.check(resumed.complete && h.countEvents(resumed) == hostedEvents && runs == workers,
		"stream cut at every engine: %d of %d events received in order; the next stream is complete", h.countEvents(answer), hostedEvents)
	for id, worker := range h.workers {
		if strings.HasPrefix(id, "engines") {
			worker.SetNext(hosted.Truncate)
			break
		}
	}
	complete := 0
	for range 4 {
		if answer := h.send(1, "/roster/1"); answer.complete && h.countEvents(answer) == hostedEvents {
			complete++
		}
	}
	h.report.check(complete == 4, "stream cut at one engine: %d of 4 went on and were whole", complete)
}

// checkDeposits sends deposits to failing workers and checks that none is executed twice,
// or executed and reported as not executed.
func (h *hostedDemo) checkDeposits() {
	misreported, duplicated := 0, 0
	for i := range 20 {
		for _, worker := range h.workers {
			worker.SetNext(hosted.Behavior(i % int(hosted.Hang)))
		}
		answer := h.send(1+i%hostedGateways, "/deposit/1")
		runs, _ := h.countRuns(answer.id)
		if runs > 1 {
			duplicated++
		}
		if runs > 0 && answer.status == http.StatusServiceUnavailable {
			misreported++
		}
	}
	for _, worker := range h.workers {
		worker.SetNext()
	}
	h.report.check(duplicated == 0 && misreported == 0, "deposits: 20 sent to failing workers, %d run more than once, %d run and told as not run", duplicated, misreported)
}

// checkRevocation revokes the key of the requests and checks that all gateways refuse it.
func (h *hostedDemo) checkRevocation() {
	configuration := hosted.DefaultConfiguration()
	configuration.Version++
	configuration.Tenants[0].Keys = []string{"another"}
	h.store.Publish(configuration)
	start := time.Now()
	err := h.waitUntil(func() bool {
		for i := range hostedGateways {
			if h.send(i+1, "/lookup/1").status != http.StatusUnauthorized {
				return false
			}
		}
		return true
	})
	h.report.check(err == nil, "revoked key: refused at %d gateways after %d ms", hostedGateways, time.Since(start).Milliseconds())
}
