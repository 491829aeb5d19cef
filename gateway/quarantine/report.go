package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// maxReportedQuarantines bounds the quarantines in one report, maxReportedBasis the
	// observations of each, maxReportedObservations other observations, and
	// maxReportedAnswers the answers. maxReportedTimes bounds the crashes of which only the
	// time is reported.
	maxReportedQuarantines  = 8
	maxReportedBasis        = 5
	maxReportedObservations = 16
	maxReportedAnswers      = 32
	maxReportedTimes        = 8
	// maxReportedServices bounds the services whose requests are counted.
	maxReportedServices = 16
	// reportTime is how long an observation that led to no quarantine is reported.
	reportTime = time.Minute
	// timeReportTime is how long the time of a crash is reported.
	timeReportTime = 10 * time.Second
)

// FillReport adds to a report the observations on which quarantines rest, the newest other ones,
// and the answers that clear parts.
func (l *Ledger) FillReport(report *gossip.Report, now clock.Boot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current(now)
	l.expire(now)
	observations := l.reported(now)
	for _, o := range observations {
		report.Crashes = append(report.Crashes, gossip.Crash{
			Endpoint: o.Engine.ID, StartedMS: o.Engine.StartedMS, Service: o.Service, Parts: o.Parts, AgeMS: now.Sub(o.At).Milliseconds(),
			SentBeforeMS: o.SentBefore.Milliseconds(), AnsweredBeforeMS: o.AnsweredBefore.Milliseconds(),
			BackgroundPermille: permille(o.Background),
		})
	}
	l.turn++
	report.Crashes = append(report.Crashes, l.crashTimes(observations, now)...)
	if len(l.observations.byKey) > 0 || len(l.clearances) > 0 {
		report.ServiceCrashes = l.serviceCrashes(now)
	}
	for _, part := range inTurn(slices.Sorted(maps.Keys(l.clearances)), l.turn, maxReportedAnswers) {
		if at, known := l.answers.last(part); known {
			report.AnsweredParts = append(report.AnsweredParts, gossip.AnsweredPart{Part: part, AgeMS: now.Sub(at).Milliseconds()})
		}
	}
}

// reported returns the observations for a report. Of those on which no quarantine rests, the ones
// with parts that were observed at the most engines come first, and after those that suspect a
// shared part the ones that suspect the request's own part. The caller holds l.mu.
func (l *Ledger) reported(now clock.Boot) []*Observation {
	var chosen, others []*Observation
	for _, q := range l.quarantines[:min(len(l.quarantines), maxReportedQuarantines)] {
		chosen = append(chosen, inTurn(q.basis, l.turn, maxReportedBasis)...)
	}
	for _, o := range l.observations.byKey {
		if now.Sub(o.At) <= reportTime && !l.explained(o) {
			others = append(others, o)
		}
	}
	for _, candidate := range l.ranked(others)[:min(len(others), maxReportedObservations)] {
		chosen = append(chosen, candidate.Observation)
	}
	return chosen
}

// candidate is an observation that may be reported.
type candidate struct {
	*Observation
	// engines is the largest number of engines at which one of its parts was observed, shared is 1
	// if it suspects a part that other requests share.
	engines, shared int
}

// ranked returns observations in the order in which they are to be reported. The caller holds
// l.mu.
func (l *Ledger) ranked(observations []*Observation) []candidate {
	engines := l.enginesByPart(observations)
	candidates := make([]candidate, 0, len(observations))
	for _, o := range observations {
		one := candidate{Observation: o, engines: l.mostEngines(engines, o)}
		if l.suspectsShared(o) {
			one.shared = 1
		}
		candidates = append(candidates, one)
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if byRank := cmp.Or(cmp.Compare(b.engines, a.engines), cmp.Compare(b.shared, a.shared)); byRank != 0 {
			return byRank
		}
		return compareObservations(b.Observation, a.Observation)
	})
	return candidates
}

// crashTimes returns recent crashes without the prompts at them, except those of the given
// observations. Others need the times to tell engines that end together from crashes that one
// request each causes, also when the requests at them were answered elsewhere. The caller holds
// l.mu.
func (l *Ledger) crashTimes(observations []*Observation, now clock.Boot) []gossip.Crash {
	told := make(map[traffic.Instance]bool, len(observations))
	for _, o := range observations {
		told[o.Engine] = true
	}
	var recent []recordedCrash
	for engine, at := range l.crashes {
		if now.Sub(at) <= timeReportTime && !told[engine] {
			recent = append(recent, recordedCrash{engine: engine, at: at})
		}
	}
	slices.SortFunc(recent, func(a, b recordedCrash) int {
		if byTime := cmp.Compare(b.at, a.at); byTime != 0 {
			return byTime
		}
		return compareInstances(a.engine, b.engine)
	})
	var times []gossip.Crash
	for _, crash := range inTurn(recent, l.turn, maxReportedTimes) {
		times = append(times, gossip.Crash{Endpoint: crash.engine.ID, StartedMS: crash.engine.StartedMS, AgeMS: now.Sub(crash.at).Milliseconds()})
	}
	return times
}

// inTurn returns at most limit entries of a list: the next ones with each turn.
func inTurn[T any](list []T, turn, limit int) []T {
	if len(list) <= limit {
		return list
	}
	var chosen []T
	for i := range limit {
		chosen = append(chosen, list[(turn*limit+i)%len(list)])
	}
	return chosen
}

// enginesByPart returns the engines at which each suspected part was observed that several
// observations name. The caller holds l.mu.
func (l *Ledger) enginesByPart(observations []*Observation) map[uint64]map[traffic.Instance]bool {
	engines := map[uint64]map[traffic.Instance]bool{}
	for _, o := range observations {
		for _, part := range o.Parts {
			if !l.observations.repeated(part, 2) || !l.suspectsPart(o, part) {
				continue
			}
			if engines[part] == nil {
				engines[part] = map[traffic.Instance]bool{}
			}
			engines[part][o.Engine] = true
		}
	}
	return engines
}

// mostEngines returns the largest number of engines at which one part of an observation was
// observed, of which engines holds the repeated parts. The caller holds l.mu.
func (l *Ledger) mostEngines(engines map[uint64]map[traffic.Instance]bool, o *Observation) int {
	most := 0
	for _, part := range o.Parts {
		most = max(most, len(engines[part]))
	}
	if most == 0 && l.suspectsAny(o) {
		return 1
	}
	return most
}

// explained reports whether the request of an observation belongs to a quarantine. The caller
// holds l.mu.
func (l *Ledger) explained(o *Observation) bool {
	return slices.ContainsFunc(l.quarantines, func(q Quarantine) bool { return q.covers(o.Parts) })
}

// ApplyReport takes in the observations and answers of another VM's report.
func (l *Ledger) ApplyReport(report gossip.Report, now clock.Boot) {
	if len(report.Crashes) == 0 && len(report.AnsweredParts) == 0 && len(report.ServiceCrashes) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[report.Address] = newPeerOutcomes(report.ServiceCrashes, now)
	for _, answer := range report.AnsweredParts {
		l.clear(answer.Part, now.Add(-milliseconds(answer.AgeMS)), now)
	}
	for _, crash := range report.Crashes {
		l.add(Observation{
			Engine: traffic.Instance{ID: crash.Endpoint, StartedMS: crash.StartedMS}, Service: crash.Service, Parts: crash.Parts, At: now.Add(-milliseconds(crash.AgeMS)),
			SentBefore: milliseconds(crash.SentBeforeMS), AnsweredBefore: milliseconds(crash.AnsweredBeforeMS),
			Background: float64(crash.BackgroundPermille) / 1000,
		}, now)
	}
}

func milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// permille returns a share in thousandths, at least one.
func permille(share float64) int {
	return max(1, int(math.Round(share*1000)))
}
