package quarantine

import (
	"slices"
	"sync"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/gateway/estimate"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// Ledger holds what is known of crashes and answers, and the quarantines that follow. It is safe
// for concurrent use.
type Ledger struct {
	mu           sync.Mutex
	observations observationSet
	answers      *answers
	// crashes holds when engines crashed, also those of observations that were explained.
	crashes map[traffic.Instance]clock.Boot
	// answering holds when each service began answers to this VM.
	answering map[string]*serviceAnswers
	// outcomes counts this VM's recent requests to each service: those that were answered are good,
	// those that ended in a crash have failed. peers has what other VMs reported, by address.
	outcomes map[string]estimate.Outcomes
	peers    map[string]peerOutcomes
	// clearances holds the answered parts to report, and until when.
	clearances map[uint64]clock.Boot
	// stagger is how much longer this VM holds requests back than it has to, as a share of that.
	stagger float64
	// turn counts the reports. Entries that do not fit into one report are reported in turn.
	turn int
	// quarantines follow from observations and answers, unless stale is set.
	quarantines []Quarantine
	// held are the requests that are held back, in the form of quarantines. They follow from the same.
	held  []Quarantine
	stale bool
}

// NewLedger returns an empty Ledger. stagger, from 0 to 1, should differ from VM to VM.
func NewLedger(stagger float64) *Ledger {
	return &Ledger{
		stagger:      stagger,
		observations: newObservationSet(),
		answers:      newAnswers(),
		outcomes:     map[string]estimate.Outcomes{},
		answering:    map[string]*serviceAnswers{},
		clearances:   map[uint64]clock.Boot{},
		peers:        map[string]peerOutcomes{},
		crashes:      map[traffic.Instance]clock.Boot{},
	}
}

// RecordAnswering records that an endpoint of a service has begun an answer.
func (l *Ledger) RecordAnswering(service string, now clock.Boot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	times, ok := l.answering[service]
	if !ok {
		times = &serviceAnswers{}
		l.answering[service] = times
	}
	times.record(now)
}

// RecordAnswer records that a request with the given parts was answered by an endpoint of the
// service, without the endpoint crashing.
func (l *Ledger) RecordAnswer(service string, parts []uint64, now clock.Boot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordOutcome(service, false, now)
	for _, part := range parts {
		l.clear(part, now, now)
	}
}

// RecordCrash records that a request of this VM, sent to an engine of the service at sentAt, was
// waiting for its answer when the engine crashed.
func (l *Ledger) RecordCrash(service string, engine traffic.Instance, parts []uint64, sentAt, crashedAt clock.Boot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := Observation{
		Engine: engine, Service: service, Parts: observedParts(parts),
		At: crashedAt, SentBefore: crashedAt.Sub(sentAt), AnsweredBefore: observationTTL,
		Background: l.crashShare(service, crashedAt), local: true,
	}
	l.recordOutcome(service, true, crashedAt)
	if l.add(o, crashedAt) {
		klog.InfoS("crash: an engine ended under a request", "endpoint", engine.ID, "parts", traffic.FormatPartIDs(o.Parts), "waited_ms", o.SentBefore.Milliseconds())
	}
}

// Find returns the quarantine that holds requests with the given parts.
func (l *Ledger) Find(parts []uint64, now clock.Boot) (Quarantine, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, q := range l.inForce(now) {
		if q.covers(parts) {
			return q, true
		}
	}
	return Quarantine{}, false
}

// SuspectsRequest reports whether a request with the given parts was at an engine that crashed, and was not
// answered since.
func (l *Ledger) SuspectsRequest(parts []uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := parts[len(parts)-1]
	return slices.ContainsFunc(l.observations.byPart[own], func(o *Observation) bool { return o.ownPart() == own && l.suspectsPart(o, own) })
}

// Quarantines returns the quarantines in force, those of requests that are held back included.
func (l *Ledger) Quarantines(now clock.Boot) []Quarantine {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inForce(now)
}

// inForce returns the quarantines that have not ended, and then the requests that are held back. The
// caller holds l.mu.
func (l *Ledger) inForce(now clock.Boot) []Quarantine {
	quarantines := l.current(now) // It also brings l.held up to date.
	return slices.DeleteFunc(slices.Concat(quarantines, l.held), func(q Quarantine) bool { return now >= q.Until })
}

// add adds an observation whose parts are not all answered since. It reports whether it was new.
// The caller holds l.mu.
func (l *Ledger) add(o Observation, now clock.Boot) bool {
	key := o.key()
	if known, ok := l.observations.byKey[key]; ok {
		l.refine(known, &o)
		return false
	}
	l.recordCrashTime(&o)
	l.announceAnswered(&o, now)
	if !l.suspectsAny(&o) {
		return false
	}
	if len(l.observations.byKey) >= maxObservations {
		l.dropOldest()
	}
	if times, ok := l.answering[o.Service]; ok {
		if last := times.lastBefore(o.At); last != 0 {
			o.AnsweredBefore = min(o.AnsweredBefore, o.At.Sub(last))
		}
	}
	l.observations.add(key, &o)
	l.stale = true
	return true
}

// recordCrashTime remembers when an engine crashed. The caller holds l.mu.
func (l *Ledger) recordCrashTime(o *Observation) {
	at, known := l.crashes[o.Engine]
	if !known && len(l.crashes) >= maxCrashes {
		l.dropOldestCrash()
	}
	if !known || o.At < at {
		l.crashes[o.Engine] = o.At
		l.stale = true
	}
}

// refine takes in what another VM says of a known observation. The caller holds l.mu.
func (l *Ledger) refine(known, other *Observation) {
	if other.At < known.At { // Relayed times are never early.
		known.At = other.At
		l.stale = true
	}
	if other.AnsweredBefore < known.AnsweredBefore {
		known.AnsweredBefore = other.AnsweredBefore
		l.stale = true
	}
}

// clear records that a part was answered, and drops the observations that this explains. The
// caller holds l.mu.
func (l *Ledger) clear(part uint64, answeredAt, now clock.Boot) {
	before, answered := l.answers.last(part)
	if !l.answers.record(part, answeredAt) || !l.observations.repeated(part, 1) {
		return
	}
	for _, o := range slices.Clone(l.observations.byPart[part]) {
		if answeredAt < o.At || answered && before >= o.At {
			continue
		}
		l.clearances[part] = now.Add(clearanceTTL)
		l.stale = true
		if !l.suspectsAny(o) {
			l.observations.remove(o.key())
		}
	}
}

// announceAnswered adds the answers to parts of an observation to the next reports. The caller
// holds l.mu.
func (l *Ledger) announceAnswered(o *Observation, now clock.Boot) {
	for _, part := range o.Parts {
		if !l.suspectsPart(o, part) {
			l.clearances[part] = now.Add(clearanceTTL)
		}
	}
}

// suspects returns the parts of an observation that were not answered since. The caller holds
// l.mu.
func (l *Ledger) suspects(o *Observation) []uint64 {
	return slices.DeleteFunc(slices.Clone(o.Parts), func(part uint64) bool { return !l.suspectsPart(o, part) })
}

// suspectsPart reports whether a part of an observation was not answered since. The caller holds
// l.mu.
func (l *Ledger) suspectsPart(o *Observation, part uint64) bool {
	at, known := l.answers.last(part)
	return !known || at < o.At
}

// suspectsAny reports whether any part of an observation was not answered since. The caller holds
// l.mu.
func (l *Ledger) suspectsAny(o *Observation) bool {
	return slices.ContainsFunc(o.Parts, func(part uint64) bool { return l.suspectsPart(o, part) })
}

// suspectsRepeated reports whether an observation suspects a part that is named often enough for a
// quarantine. The caller holds l.mu.
func (l *Ledger) suspectsRepeated(o *Observation) bool {
	return slices.ContainsFunc(o.Parts, func(part uint64) bool {
		return l.observations.repeated(part, minCrashes) && l.suspectsPart(o, part)
	})
}

// suspectsShared reports whether an observation suspects a part that other requests share. The
// caller holds l.mu.
func (l *Ledger) suspectsShared(o *Observation) bool {
	return slices.ContainsFunc(o.Parts, func(part uint64) bool { return part != o.ownPart() && l.suspectsPart(o, part) })
}

// current returns the quarantines, judged anew if anything has changed. Quarantines that have
// ended are among them. The caller holds l.mu.
func (l *Ledger) current(now clock.Boot) []Quarantine {
	if !l.stale {
		return l.quarantines
	}
	l.stale = false
	var open []*evidence
	for _, o := range l.observations.byKey {
		if l.suspectsRepeated(o) {
			open = append(open, &evidence{o, l.suspects(o)})
		}
	}
	before := l.quarantines
	l.quarantines = judge(open, l.crashes)
	logChanges(before, l.quarantines, now)
	held := l.held
	l.held = l.holds()
	logHeld(held, l.held, now)
	return l.quarantines
}
