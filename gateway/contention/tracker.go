package contention

import (
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// minDeviation is the multiple of the usual time from which a host counts as contended.
	minDeviation = 1.15
	// maxInstances bounds the instances whose statements are kept.
	maxInstances = 4096
)

// instance is what is known of one instance.
type instance struct {
	Statement
	service string
	// returnedAt is when the host was first stated to be as usual again after a contention, 0 if it was not.
	returnedAt clock.Boot
}

// Tracker keeps the newest statement of each instance, its own and those that other VMs relay.
type Tracker struct {
	instances map[traffic.Instance]instance
	// services are the statements that this VM heard itself, by service.
	services map[string]*recent
}

// NewTracker returns a Tracker that knows no statement.
func NewTracker() *Tracker {
	return &Tracker{instances: map[traffic.Instance]instance{}, services: map[string]*recent{}}
}

// Record records what an endpoint stated with an answer to this VM: the multiple of the usual time.
func (t *Tracker) Record(endpoint *traffic.Endpoint, stated float64, now clock.Boot) {
	statement := newStatement(stated, now)
	own, ok := t.services[endpoint.Service]
	if !ok {
		own = &recent{common: 1}
		t.services[endpoint.Service] = own
	}
	own.add(statement.factor)
	t.apply(endpoint.Instance(), endpoint.Service, statement, now)
}

// apply records a statement unless a newer one is known.
func (t *Tracker) apply(key traffic.Instance, service string, statement Statement, now clock.Boot) {
	known, ok := t.instances[key]
	if ok && statement.at <= known.at {
		return
	}
	if !ok && len(t.instances) >= maxInstances {
		if t.expire(now); len(t.instances) >= maxInstances {
			return
		}
	}
	next := instance{Statement: statement, service: service}
	if !t.deviates(next) {
		next.returnedAt = known.returnedAt
		if ok && t.deviates(known) {
			next.returnedAt = statement.at
		}
	}
	t.instances[key] = next
}

// deviates reports whether the host was contended when its instance stated it.
func (t *Tracker) deviates(known instance) bool {
	return known.factor >= minDeviation*t.Common(known.service)
}

// expire drops the statements that no longer count.
func (t *Tracker) expire(now clock.Boot) {
	for key, known := range t.instances {
		if now.Sub(known.at) > lifetime {
			delete(t.instances, key)
		}
	}
}

// Newest returns the newest statement of an instance.
func (t *Tracker) Newest(key traffic.Instance) Statement {
	return t.instances[key].Statement
}

// Common returns what hosts of a service usually state, at least 1: a contention that they share comes from the load
// of the service and counts against none.
func (t *Tracker) Common(service string) float64 {
	if own, ok := t.services[service]; ok {
		return own.common
	}
	return 1
}

// Contended returns the number of instances whose hosts are expected to be contended.
func (t *Tracker) Contended(now clock.Boot) int {
	count := 0
	for _, known := range t.instances {
		if known.Factor(t.Common(known.service), now) >= minDeviation {
			count++
		}
	}
	return count
}
