package soak

import (
	"net/http"
	"sync"
	"time"

	"cardamompoint.example/cardamompoint/platform"
)

// faultRecord records the injected faults, the publications and the readiness of VMs. It is
// safe for concurrent use until the history is checked.
type faultRecord struct {
	mu sync.Mutex
	// vmFaults affected VMs, workerFaults affected workers or the links to them.
	vmFaults     []faultPeriod
	workerFaults []faultPeriod
	readiness    []readinessSample
	// drainPeriods are the periods in which the store published a worker as draining
	// or deleted.
	drainPeriods []drainPeriod
	// published is when a path was published.
	published map[string]time.Time
	// rewritten is when a path was last published again, after the store had lost it.
	rewritten map[string]time.Time
	// endOnHeal are the functions that heal calls to end fault periods.
	endOnHeal []func()
}

// readinessSample is the result of one poll of a VM's readiness.
type readinessSample struct {
	gateway int
	at      time.Time
	ready   bool
}

// drainPeriod is a period in which a worker was draining or deleted. to is zero while it
// lasts.
type drainPeriod struct {
	worker   string
	from, to time.Time
}

// beginFault begins a fault period of a VM and returns the function that ends it.
func (r *faultRecord) beginFault(gateway int, what string) (end func()) {
	return r.add(&r.vmFaults, faultPeriod{gateway: gateway, what: what})
}

// beginWorkerFault begins a fault period of workers, which heal ends.
func (r *faultRecord) beginWorkerFault(what string) {
	r.endWhenHealed(r.add(&r.workerFaults, faultPeriod{gateway: allVMs, what: what}))
}

// add appends an open fault period to a list and returns the function that ends it.
func (r *faultRecord) add(list *[]faultPeriod, period faultPeriod) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	const noEnd = 24 * time.Hour
	period.from = time.Now()
	period.to = period.from.Add(noEnd)
	at := len(*list)
	*list = append(*list, period)
	return sync.OnceFunc(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		(*list)[at].to = time.Now()
	})
}

// endWhenHealed makes heal call end.
func (r *faultRecord) endWhenHealed(end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endOnHeal = append(r.endOnHeal, end)
}

// heal ends the fault periods that were passed to endWhenHealed.
func (r *faultRecord) heal() {
	r.mu.Lock()
	open := r.endOnHeal
	r.endOnHeal = nil
	r.mu.Unlock()
	for _, end := range open {
		end()
	}
}

// setDraining records that the store published a worker as draining or deleted, or as ready.
func (r *faultRecord) setDraining(worker string, draining bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.drainPeriods {
		if period := &r.drainPeriods[i]; period.worker == worker && period.to.IsZero() {
			if !draining {
				period.to = time.Now()
			}
			return
		}
	}
	if draining {
		r.drainPeriods = append(r.drainPeriods, drainPeriod{worker: worker, from: time.Now()})
	}
}

const (
	// stallCheckPeriod is the period of the stall detection, stallThreshold the delay
	// from which the host counts as stalled.
	stallCheckPeriod = 20 * time.Millisecond
	stallThreshold   = 100 * time.Millisecond
	// readinessPeriod is the time between two polls of readiness.
	readinessPeriod = 100 * time.Millisecond
)

// detectStalls records a fault of all VMs whenever this process was not scheduled in time,
// until done is closed.
func (r *faultRecord) detectStalls(done <-chan struct{}) {
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-time.After(stallCheckPeriod):
		}
		now := time.Now()
		if now.Sub(last) > stallCheckPeriod+stallThreshold {
			r.mu.Lock()
			r.vmFaults = append(r.vmFaults, faultPeriod{gateway: allVMs, from: last, to: now, what: "host stall"})
			r.mu.Unlock()
		}
		last = now
	}
}

// pollReadiness records the readiness of a VM until done is closed.
func (s *soak) pollReadiness(gateway int, done <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-done:
			return
		case <-time.After(readinessPeriod):
		}
		at, ready := time.Now(), false
		if response, err := client.Get("http://" + s.ip(gateway) + ":7002" + platform.ReadinessPath); err == nil {
			response.Body.Close()
			ready = response.StatusCode == http.StatusOK
		}
		s.record.mu.Lock()
		s.record.readiness = append(s.record.readiness, readinessSample{gateway, at, ready})
		s.record.mu.Unlock()
	}
}
