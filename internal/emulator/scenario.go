package emulator

import (
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// Scenario describes the engines and the workload of a simulation.
type Scenario struct {
	Name string
	Seed uint64
	// Engines and VMs are the numbers of engines and of VMs. Slots is the number of
	// requests that one engine runs at a time, Queue the number that wait there, and
	// CacheTokens its cache size.
	Engines     int
	VMs         int
	Slots       int
	Queue       int
	CacheTokens int
	// Load is the request rate as a multiple of Kind.Rate.
	Load float64
	// Duration is how long callers send requests.
	Duration time.Duration
	// FloodFactor multiplies the requests of workspace 0. HotShare is the share of all
	// requests that have subject 0. DomainFactor multiplies the requests of the first
	// failure domain.
	FloodFactor  float64
	HotShare     float64
	DomainFactor float64
	// BurstFactor multiplies the request rate for BurstFor, from burstStart on. BurstKind is the
	// name of the kind that bursts, "" for all.
	BurstFactor float64
	BurstFor    time.Duration
	BurstKind   string
	// Kinds are the kinds of requests, nil for Kinds().
	Kinds []Kind
	// LongFactor multiplies the unique tokens of one request in ten.
	LongFactor float64
}

// Calm returns a scenario in which engines have spare capacity.
func Calm(seed uint64) Scenario {
	return Scenario{Name: "calm", Seed: seed, Engines: 8, VMs: 6, Slots: 24, Queue: 6, CacheTokens: 240_000, Load: 0.6, Duration: 20 * time.Second, FloodFactor: 1, DomainFactor: 1, BurstFactor: 1, LongFactor: 1}
}

// Scenarios returns the scenarios that tests simulate.
func Scenarios(seed uint64) []Scenario {
	change := func(name string, modify func(s *Scenario)) Scenario {
		s := Calm(seed)
		s.Name = name
		modify(&s)
		return s
	}
	return []Scenario{
		Calm(seed),
		change("overload", func(s *Scenario) { s.Load = 1.6 }),
		change("overload, long queues", func(s *Scenario) { s.Load, s.Queue = 1.6, 72 }),
		change("one workspace floods", func(s *Scenario) { s.FloodFactor = 12 }),
		change("one hot subject", func(s *Scenario) { s.HotShare = 0.5 }),
		change("one failure domain's burst", func(s *Scenario) { s.DomainFactor = 5 }),
		change("burst that ends", func(s *Scenario) { s.BurstFactor, s.BurstFor = 3.5, 4*time.Second }),
		change("long prompts", func(s *Scenario) { s.LongFactor = 8 }),
	}
}

// ScarceScenarios returns scenarios in which kinds of different work compete for capacity. At a Load of 1 the
// engines are just able to serve all requests.
func ScarceScenarios(seed uint64) []Scenario {
	scarce := func(name string) Scenario {
		s := Calm(seed)
		s.Name, s.Kinds, s.Load = name, scarceKinds(), 1
		s.Slots, s.Queue, s.CacheTokens = 64, 16, 460_322
		return s
	}
	long, chats, overload := scarce("burst of the long kind"), scarce("burst of chats"), scarce("overload of 2 times")
	long.BurstKind, long.BurstFactor, long.BurstFor = "plan", 2.6, 6*time.Second
	chats.BurstKind, chats.BurstFactor, chats.BurstFor = "chat", 1.9, 6*time.Second
	overload.Load = 2
	return []Scenario{long, chats, overload}
}

// kinds returns the kinds of requests of the scenario.
func (s Scenario) kinds() []Kind {
	if s.Kinds == nil {
		return Kinds()
	}
	return s.Kinds
}

// burstStart is the time from the first request to the beginning of a burst.
const burstStart = 4 * time.Second

// inBurst reports whether requests of a kind that arrive at the given time belong to the burst.
func (s Scenario) inBurst(kind *Kind, at clock.Boot) bool {
	if s.BurstKind != "" && s.BurstKind != kind.Name {
		return false
	}
	since := at.Sub(startTime.Add(burstStart))
	return since >= 0 && since < s.BurstFor
}

// domains is the number of failure domains, workspaces the number of workspaces.
const (
	domains    = 3
	workspaces = 10
)
