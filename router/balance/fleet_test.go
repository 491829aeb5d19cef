package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/rank"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/template"
)

// The sizes and time steps of the simulated fleet. The sizes are those of
// Gelek's deployment.
const (
	fleetHomes      = 8
	fleetEngines    = 20
	fleetWorkspaces = 10
	fleetChats      = 400
	fleetCandidates = 12
	peerSumInterval = 500 * time.Millisecond
	fleetTick       = 20 * time.Millisecond
	// fleetWarmUp is the time before the skew of the load is measured.
	fleetWarmUp = 20 * time.Second
)

var fleetLimits = settings.Limits{
	LoadMultiple: 1.25, EngineFloorTokens: 2048, EngineRequests: 32, EngineTokens: 32768,
}

// fleetLoad is the load of one run. rate is the number of requests per second of
// each workspace; that of the first workspace is multiplied by floodFactor, if it
// is not 0.
type fleetLoad struct {
	rate        float64
	floodFactor float64
	duration    time.Duration
}

// runningRequest is a request in progress at an engine.
type runningRequest struct {
	reservation     *Reservation
	tokens          int
	remainingTokens int
}

// testFleet simulates admission in a whole fleet whose routers learn their
// peers' loads with a delay of peerSumInterval.
type testFleet struct {
	random     *rand.Rand
	trackers   []*LoadTracker
	admissions []*Admission
	estimator  *Estimator
	peerSums   []int
	summedAt   time.Time
	startedAt  time.Time
	engines    []rank.Node
	running    [][]*runningRequest
	result     fleetResult
}

func newTestFleet(seed uint64) *testFleet {
	f := &testFleet{
		random:    rand.New(rand.NewPCG(seed, 0)),
		estimator: NewEstimator(),
		peerSums:  make([]int, fleetHomes),
		running:   make([][]*runningRequest, fleetEngines),
	}
	now := time.Now()
	f.startedAt = now
	for range fleetHomes {
		tracker := NewLoadTracker(fleetLimits, leaseDuration)
		f.trackers = append(f.trackers, tracker)
		f.admissions = append(f.admissions, NewAdmission(tracker, leaseDuration, leaseMargin, now))
	}
	for e := range fleetEngines {
		f.engines = append(f.engines, rank.NewNode(fmt.Sprint("engine-", e), 1))
		tracker := f.trackers[e%fleetHomes]
		tracker.RecordReport(f.engines[e].ID, tracker.StartReport(f.engines[e].ID), endpoint.Load{}, now, now)
	}
	return f
}

// meanTokens returns the mean load that the home knows from its own current sum
// and its peers' delayed ones, and the projected mean, for which each peer's
// load has grown as much as the home's.
func (f *testFleet) meanTokens(home int, now time.Time) (mean, projected float64) {
	tokens := f.trackers[home].LoadByModel()["m"].Tokens
	for h, sum := range f.peerSums {
		if h != home {
			tokens += sum
		}
	}
	growth := (fleetHomes - 1) * f.trackers[home].TokenGrowth("m", now)
	return float64(tokens) / fleetEngines, float64(tokens+growth) / fleetEngines
}

// drawRequest returns the class and length in tokens of a random request: a tag,
// a chat reply or a long request.
func (f *testFleet) drawRequest() (template.Priority, int) {
	switch draw := f.random.Float64(); {
	case draw < 0.3:
		return template.PriorityTag, 4 + f.random.IntN(24)
	case draw < 0.92:
		return template.PriorityChat, 50 + f.random.IntN(300)
	default:
		return template.PriorityLong, 800 + f.random.IntN(1400)
	}
}

// route asks the candidates of a random chat of the workspace in order, twice if
// none admits the request below the load multiple.
func (f *testFleet) route(workspace int) {
	priority, tokens := f.drawRequest()
	name := fmt.Sprint("workspace-", workspace)
	chat := fmt.Sprint(name, "/", f.random.IntN(fleetChats))
	f.result.requests[workspace]++
	if priority == template.PriorityTag && workspace > 0 {
		f.result.tags++
	}
	order := rank.Top(rank.Key(chat), f.engines, fleetCandidates)
	for _, lastResort := range []bool{false, true} {
		for _, e := range order {
			f.result.attempts[workspace]++
			if f.tryEngine(e, name, priority, tokens, lastResort) {
				return
			}
		}
	}
	f.result.refused[workspace]++
	if priority == template.PriorityTag && workspace > 0 {
		f.result.tagsRefused++
	}
}

func (f *testFleet) tryEngine(engine int, workspace string, priority template.Priority, tokens int, lastResort bool) bool {
	now, home := time.Now(), engine%fleetHomes
	mean, projected := f.meanTokens(home, now)
	reservation, err := f.admissions[home].Admit(Request{
		Engine:              f.engines[engine].ID,
		Model:               "m",
		Workspace:           workspace,
		Priority:            priority,
		Tokens:              f.estimator.Estimate(workspace, priority, 2048),
		MeanTokens:          mean,
		ProjectedMeanTokens: projected,
		LastResort:          lastResort,
	}, Assignment{Role: RoleHome, Since: now.Add(-time.Hour), SoleRouter: true}, now)
	if err != nil {
		if code.Of(err).RetryAfterMS == 0 {
			panic(err)
		}
		return false
	}
	f.running[engine] = append(f.running[engine], &runningRequest{reservation, tokens, tokens})
	f.result.starts[engine]++
	f.result.peak = max(f.result.peak, len(f.running[engine]))
	return true
}

// advance delivers the tokens of one tick: each request gets one token in two of
// three ticks, which is one every 30 ms on average.
func (f *testFleet) advance(tick int) {
	for e := range f.running {
		kept := f.running[e][:0]
		for _, r := range f.running[e] {
			if tick%3 != 0 {
				r.remainingTokens--
				r.reservation.TokenDelivered()
			}
			if r.remainingTokens > 0 {
				kept = append(kept, r)
				continue
			}
			f.finish(r)
		}
		f.running[e] = kept
	}
}

func (f *testFleet) finish(r *runningRequest) {
	r.reservation.Release()
	request := r.reservation.request
	f.estimator.Observe(request.Workspace, request.Priority, r.tokens)
}

// measure records the skew of the load: the largest load over the mean, or 1 if
// the largest load is not above the floor.
func (f *testFleet) measure() {
	total, largest := 0, 0
	for e, node := range f.engines {
		_, tokens := f.trackers[e%fleetHomes].Load(node.ID)
		total += tokens
		largest = max(largest, tokens)
	}
	if time.Since(f.startedAt) < fleetWarmUp {
		return
	}
	mean := float64(total) / fleetEngines
	f.result.samples++
	f.result.sumMean += mean
	skew := 1.0
	if largest > fleetLimits.EngineFloorTokens {
		skew = float64(largest) / mean
	}
	f.result.maxSkew = max(f.result.maxSkew, skew)
	f.result.sumSkew += skew
}

// exchangeSums tells all routers the current sums of their peers, once per
// peerSumInterval.
func (f *testFleet) exchangeSums() {
	if time.Since(f.summedAt) < peerSumInterval {
		return
	}
	f.summedAt = time.Now()
	for h, tracker := range f.trackers {
		f.peerSums[h] = tracker.LoadByModel()["m"].Tokens
	}
}

// runFleet runs load with the given seed in virtual time.
func runFleet(t *testing.T, seed uint64, load fleetLoad) (result fleetResult) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(seed)
		var due [fleetWorkspaces]float64
		for tick := range int(load.duration / fleetTick) {
			for w := range fleetWorkspaces {
				rate := load.rate
				if w == 0 && load.floodFactor > 0 {
					rate *= load.floodFactor
				}
				for due[w] += rate * fleetTick.Seconds() * 2 * f.random.Float64(); due[w] >= 1; due[w]-- {
					f.route(w)
				}
			}
			f.advance(tick)
			f.exchangeSums()
			f.measure()
			time.Sleep(fleetTick)
		}
		result = f.result
	})
	return result
}

// runSeeds runs load with three seeds and returns the combined results.
func runSeeds(t *testing.T, load fleetLoad) fleetResult {
	var sum fleetResult
	for seed := range uint64(3) {
		result := runFleet(t, 4+seed, load)
		sum.add(&result)
	}
	return sum
}
