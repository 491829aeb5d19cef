package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// suspicion is what the open observations say of one part.
type suspicion struct {
	part uint64
	// observations are those with the part, by time.
	observations []*evidence
	// independent are those of them that came under independent crashes.
	independent []*Observation
	// companions are the suspected parts that all these observations share, sorted.
	companions []uint64
}

// evidence is an observation with the parts that were not answered since.
type evidence struct {
	*Observation
	suspects []uint64
}

// judge returns the quarantines that follow from evidence and from the times at which engines
// crashed. The part with the most independent crashes explains all crashes that it was observed at;
// other parts are judged by the remaining ones.
func judge(open []*evidence, crashes map[traffic.Instance]clock.Boot) []Quarantine {
	if len(open) < minCrashes {
		return nil
	}
	slices.SortFunc(open, func(a, b *evidence) int { return compareObservations(a.Observation, b.Observation) })
	record := newCrashRecord(crashes)
	var verdicts []Quarantine
	for {
		worst := mostSuspected(open, record)
		if worst == nil {
			return verdicts
		}
		verdicts = append(verdicts, worst.verdict())
		open = unexplained(open, worst)
		record.explain(worst.engines())
	}
}

// mostSuspected returns the suspicion with the most crashes, nil if there is none. Among
// equal ones it prefers a part that requests share, since it may explain further crashes, and then
// that with more companions, which concerns fewer requests.
func mostSuspected(open []*evidence, crashes *crashRecord) *suspicion {
	var worst *suspicion
	for _, s := range suspicions(open) {
		s.independent = independentCrashes(s.observations)
		if len(s.independent) < minCrashes || s.chance(crashes) > maxChance {
			continue
		}
		s.companions = s.commonSuspects()
		if worst == nil || s.compare(worst) > 0 {
			worst = s
		}
	}
	return worst
}

// suspicions returns what evidence says of each part that it names often enough for a quarantine.
func suspicions(open []*evidence) []*suspicion {
	counts := map[uint64]int{}
	for _, e := range open {
		for _, part := range e.suspects {
			counts[part]++
		}
	}
	byPart := map[uint64]*suspicion{}
	for _, e := range open {
		for _, part := range e.suspects {
			if counts[part] < minCrashes {
				continue
			}
			s, ok := byPart[part]
			if !ok {
				s = &suspicion{part: part}
				byPart[part] = s
			}
			s.observations = append(s.observations, e)
		}
	}
	return slices.Collect(maps.Values(byPart))
}

// verdict returns the quarantine that follows from a suspicion.
func (s *suspicion) verdict() Quarantine {
	crashes := len(s.independent)
	last := s.observations[len(s.observations)-1].At
	return Quarantine{
		Parts: s.companions, Crashes: crashes, Until: last.Add(term(crashes)),
		basis: s.independent[max(0, crashes-maxBasis):],
	}
}

// engines returns the engines at which the part was observed.
func (s *suspicion) engines() map[traffic.Instance]bool {
	engines := map[traffic.Instance]bool{}
	for _, o := range s.observations {
		engines[o.Engine] = true
	}
	return engines
}

// compare returns a positive number if s is to be judged before other, and a negative one if after.
func (s *suspicion) compare(other *suspicion) int {
	return cmp.Or(
		cmp.Compare(len(s.independent), len(other.independent)),
		cmp.Compare(s.sharedRank(), other.sharedRank()),
		cmp.Compare(len(s.companions), len(other.companions)),
		cmp.Compare(other.part, s.part),
	)
}

// sharedRank returns 0 if the part is a request's own, and 1 if other requests share it.
func (s *suspicion) sharedRank() int {
	if s.observations[0].ownPart() == s.part {
		return 0
	}
	return 1
}

const (
	// clockTolerance is the error of times that other VMs reported.
	clockTolerance = 5 * time.Millisecond
	// minCrashGap is the least time between independent crashes: a report takes up to that long,
	// and what it tells then appears later than it was.
	minCrashGap = 100 * time.Millisecond
)

// independentCrashes returns the longest subsequence of observations, which are sorted by time, in
// which each request was sent after the previous crash and the service began other answers in
// between. Simultaneous crashes, and crashes of a service that answers no requests, are no evidence
// against a prompt.
func independentCrashes(observations []*evidence) []*Observation {
	var independent []*Observation
	var last clock.Boot
	engines := map[traffic.Instance]bool{}
	for _, o := range observations {
		if engines[o.Engine] || len(independent) > 0 && (o.began().Add(clockTolerance) < last || o.At.Sub(last) < minCrashGap) {
			continue
		}
		engines[o.Engine] = true
		independent = append(independent, o.Observation)
		last = o.At
	}
	return independent
}

// maxChance is the largest probability of a coincidence with which a part is quarantined.
const maxChance = 1e-3

// chance returns the probability that the requests of all independent observations ended in a crash
// by chance.
func (s *suspicion) chance(crashes *crashRecord) float64 {
	seen := s.engines()
	product := 1.0
	for _, o := range s.independent {
		product *= min(1, s.background(o.At)*crashes.unexplainedShare(o.At)*float64(crashes.simultaneous(o.At, seen)))
	}
	return product
}

// background returns the lowest background of the observations around a time. The first attempt of
// a request that is retried immediately raises the background of the second one.
func (s *suspicion) background(at clock.Boot) float64 {
	lowest := 1.0
	for _, o := range s.observations {
		if o.At.Sub(at).Abs() <= atOnce {
			lowest = min(lowest, o.Background)
		}
	}
	return lowest
}

// commonSuspects returns the suspected parts that all observations share, sorted. A request's own
// part is none beside a shared one, which may crash engines under other requests.
func (s *suspicion) commonSuspects() []uint64 {
	own := s.observations[0].ownPart()
	common := slices.DeleteFunc(slices.Clone(s.observations[0].suspects), func(part uint64) bool { return part == own && part != s.part })
	for _, o := range s.observations[1:] {
		common = slices.DeleteFunc(common, func(part uint64) bool { return !slices.Contains(o.suspects, part) })
	}
	slices.Sort(common)
	return common
}

// unexplained returns the evidence from engines at which no request had the suspected part.
func unexplained(open []*evidence, s *suspicion) []*evidence {
	explained := s.engines()
	return slices.DeleteFunc(slices.Clone(open), func(e *evidence) bool { return explained[e.Engine] })
}
