package soak

import (
	"net/http"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/platform"
)

// soakRecord is what the soak itself did and saw beside callers and workers. It is safe
// for concurrent use until the history is checked.
type soakRecord struct {
	mu sync.Mutex
	// spells harmed VMs, workerSpells workers or the way to them.
	spells       []soakSpell
	workerSpells []soakSpell
	readiness    []soakReady
	// drained are the spans in which the store told that a worker drains or is gone.
	drained []soakSpan
	// published is when the store took in a path.
	published map[string]time.Time
	// open end with the faults.
	open []func()
}

// soakReady is one look at a VM's readiness.
type soakReady struct {
	gateway int
	at      time.Time
	ready   bool
}

// soakSpan is a span of a worker.
type soakSpan struct {
	worker   string
	from, to time.Time
}

// harm begins a spell of a VM and returns what ends it.
func (r *soakRecord) harm(gateway int, what string) (end func()) {
	return r.begin(&r.spells, soakSpell{gateway: gateway, what: what})
}

// harmWorkers begins a spell of workers that ends with the faults.
func (r *soakRecord) harmWorkers(what string) {
	r.untilHealed(r.begin(&r.workerSpells, soakSpell{gateway: everyVM, what: what}))
}

// begin adds a spell without an end to a list.
func (r *soakRecord) begin(list *[]soakSpell, spell soakSpell) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	const noEnd = 24 * time.Hour
	spell.from = time.Now()
	spell.to = spell.from.Add(noEnd)
	at := len(*list)
	*list = append(*list, spell)
	return sync.OnceFunc(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		(*list)[at].to = time.Now()
	})
}

// untilHealed lets a spell end with the faults at the latest.
func (r *soakRecord) untilHealed(end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open = append(r.open, end)
}

// heal ends what has no end of its own.
func (r *soakRecord) heal() {
	r.mu.Lock()
	open := r.open
	r.open = nil
	r.mu.Unlock()
	for _, end := range open {
		end()
	}
}

// drain notes that the store tells that a worker drains or is gone, or that it is ready.
func (r *soakRecord) drain(worker string, drains bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.drained {
		if span := &r.drained[i]; span.worker == worker && span.to.IsZero() {
			if !drains {
				span.to = time.Now()
			}
			return
		}
	}
	if drains {
		r.drained = append(r.drained, soakSpan{worker: worker, from: time.Now()})
	}
}

const (
	// soakBeat is the period of the soak's own heartbeat, soakLate the lateness from
	// which the machine counts as standing still.
	soakBeat = 20 * time.Millisecond
	soakLate = 100 * time.Millisecond
	// readyPeriod is the time between two looks at readiness.
	readyPeriod = 100 * time.Millisecond
)

// beat notes spans in which the machine did not let this process run in time, until done.
func (r *soakRecord) beat(done <-chan struct{}) {
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-time.After(soakBeat):
		}
		now := time.Now()
		if now.Sub(last) > soakBeat+soakLate {
			r.mu.Lock()
			r.spells = append(r.spells, soakSpell{gateway: everyVM, from: last, to: now, what: "machine"})
			r.mu.Unlock()
		}
		last = now
	}
}

// lookAtReadiness looks at the readiness of a VM until done.
func (s *soak) lookAtReadiness(gateway int, done <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-done:
			return
		case <-time.After(readyPeriod):
		}
		at, ready := time.Now(), false
		if response, err := client.Get("http://" + s.ip(gateway) + ":7002" + platform.ReadinessPath); err == nil {
			response.Body.Close()
			ready = response.StatusCode == http.StatusOK
		}
		s.record.mu.Lock()
		s.record.readiness = append(s.record.readiness, soakReady{gateway, at, ready})
		s.record.mu.Unlock()
	}
}
