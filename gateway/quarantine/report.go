package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/gateway/estimate"
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
	if len(l.observations) > 0 || len(l.clearances) > 0 {
		own := l.outcomes.AsOf(now)
		report.CrashedRequests, report.AnsweredRequests = gossip.ToUnits(own.Failed), gossip.ToUnits(own.Good)
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
	for _, o := range l.observations {
		if now.Sub(o.At) <= reportTime && !l.explained(o) {
			others = append(others, o)
		}
	}
	engines := l.enginesByPart(others)
	shared := map[*Observation]int{}
	for _, o := range others {
		if l.suspectsShared(o) {
			shared[o] = 1
		}
	}
	slices.SortFunc(others, func(a, b *Observation) int {
		return cmp.Or(cmp.Compare(mostEngines(engines, b), mostEngines(engines, a)), cmp.Compare(shared[b], shared[a]), compareObservations(b, a))
	})
	return append(chosen, others[:min(len(others), maxReportedObservations)]...)
}

// crashTimes returns recent crashes without the prompts at them, except those of the given
// observations. Others need the times to tell engines that end together from crashes that one
// request each causes, also when the requests at them were answered elsewhere. The caller holds
// l.mu.
func (l *Ledger) crashTimes(observations []*Observation, now clock.Boot) []gossip.Crash {
	var engines []traffic.Instance
	for engine, at := range l.crashes {
		reported := slices.ContainsFunc(observations, func(o *Observation) bool { return o.Engine == engine })
		if now.Sub(at) <= timeReportTime && !reported {
			engines = append(engines, engine)
		}
	}
	slices.SortFunc(engines, func(a, b traffic.Instance) int {
		return cmp.Or(cmp.Compare(l.crashes[b], l.crashes[a]), compareInstances(a, b))
	})
	var times []gossip.Crash
	for _, engine := range inTurn(engines, l.turn, maxReportedTimes) {
		times = append(times, gossip.Crash{Endpoint: engine.ID, StartedMS: engine.StartedMS, AgeMS: now.Sub(l.crashes[engine]).Milliseconds()})
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

// enginesByPart returns the engines at which each suspected part was observed. The caller holds
// l.mu.
func (l *Ledger) enginesByPart(observations []*Observation) map[uint64]map[traffic.Instance]bool {
	engines := map[uint64]map[traffic.Instance]bool{}
	for _, o := range observations {
		for _, part := range l.suspects(o) {
			if engines[part] == nil {
				engines[part] = map[traffic.Instance]bool{}
			}
			engines[part][o.Engine] = true
		}
	}
	return engines
}

// mostEngines returns the largest number of engines at which one part of an observation was
// observed.
func mostEngines(engines map[uint64]map[traffic.Instance]bool, o *Observation) int {
	most := 0
	for _, part := range o.Parts {
		most = max(most, len(engines[part]))
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
	if len(report.Crashes) == 0 && len(report.AnsweredParts) == 0 && report.AnsweredRequests == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	outcomes := estimate.NewOutcomes(gossip.FromUnits(report.AnsweredRequests), gossip.FromUnits(report.CrashedRequests), 1, now)
	l.peers[report.Address] = peerOutcomes{outcomes, now}
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
