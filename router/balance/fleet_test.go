package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/rank"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/template"
)

// The sizes of Gelek's deployment.
const (
	fleetHomes      = 8
	fleetEngines    = 20
	fleetWorkspaces = 10
	fleetChats      = 400
	fleetAsked      = 12
	fleetLag        = 500 * time.Millisecond
	fleetTick       = 20 * time.Millisecond
	// fleetWarmUp is the time before skew is measured.
	fleetWarmUp = 20 * time.Second
)

var fleetLimits = settings.Limits{
	LoadMultiple: 1.25, EngineFloorTokens: 2048, EngineRequests: 32, EngineTokens: 32768,
}

// fleetLoad is a load on a fleet in requests per second and workspace.
type fleetLoad struct {
	rate     float64
	flooding float64
	duration time.Duration
}

// fleetResult is what a run has shown.
type fleetResult struct {
	asked, refused, attempts [fleetWorkspaces]int
	tags, tagsRefused        int
	maxSkew, sumSkew, mean   float64
	samples                  int
	peak                     int
	starts                   [fleetEngines]int
}

// others returns the refused part and the mean attempts of all workspaces but
// the first.
func (r *fleetResult) others() (refused, attempts float64) {
	asked, refusals, tries := 0, 0, 0
	for w := 1; w < fleetWorkspaces; w++ {
		asked += r.asked[w]
		refusals += r.refused[w]
		tries += r.attempts[w]
	}
	return float64(refusals) / float64(asked), float64(tries) / float64(asked)
}

// running is one request at an engine.
type running struct {
	reservation *Reservation
	tokens      int
	left        int
}

// testFleet is the admission of a whole fleet with late sums of peers.
type testFleet struct {
	random    *rand.Rand
	ledgers   []*LoadTracker
	admission []*Admission
	estimator *Estimator
	sums      []int
	summed    time.Time
	begun     time.Time
	engines   []rank.Node
	running   [][]*running
	result    fleetResult
}

func newTestFleet(seed uint64) *testFleet {
	f := &testFleet{
		random:    rand.New(rand.NewPCG(seed, 0)),
		estimator: NewEstimator(),
		sums:      make([]int, fleetHomes),
		running:   make([][]*running, fleetEngines),
	}
	now := time.Now()
	f.begun = now
	for range fleetHomes {
		ledger := NewLoadTracker(fleetLimits, leaseTime)
		f.ledgers = append(f.ledgers, ledger)
		f.admission = append(f.admission, NewAdmission(ledger, leaseTime, leaseMargin, now))
	}
	for e := range fleetEngines {
		f.engines = append(f.engines, rank.NewNode(fmt.Sprint("engine-", e), 1))
		ledger := f.ledgers[e%fleetHomes]
		ledger.RecordReport(f.engines[e].ID, ledger.StartReport(f.engines[e].ID), endpoint.Load{}, now, now)
	}
	return f
}

// means returns the mean that the home knows, by its own sum now and the late
// sums of its peers, and the same with the own growth in the place of theirs.
func (f *testFleet) means(home int, now time.Time) (mean, grown float64) {
	tokens := f.ledgers[home].LoadByModel()["m"].Tokens
	for h, sum := range f.sums {
		if h != home {
			tokens += sum
		}
	}
	growth := (fleetHomes - 1) * f.ledgers[home].TokenGrowth("m", now)
	return float64(tokens) / fleetEngines, float64(tokens+growth) / fleetEngines
}

// work is one request of the mix: tags, chat replies and rosters.
func (f *testFleet) work() (template.Priority, int) {
	switch draw := f.random.Float64(); {
	case draw < 0.3:
		return template.PriorityTag, 4 + f.random.IntN(24)
	case draw < 0.92:
		return template.PriorityChat, 50 + f.random.IntN(300)
	default:
		return template.PriorityLong, 800 + f.random.IntN(1400)
	}
}

func (f *testFleet) ask(workspace int) {
	priority, tokens := f.work()
	name := fmt.Sprint("workspace-", workspace)
	chat := fmt.Sprint(name, "/", f.random.IntN(fleetChats))
	f.result.asked[workspace]++
	if priority == template.PriorityTag && workspace > 0 {
		f.result.tags++
	}
	order := rank.Top(rank.Key(chat), f.engines, fleetAsked)
	for _, last := range []bool{false, true} {
		for _, e := range order {
			f.result.attempts[workspace]++
			if f.try(e, name, priority, tokens, last) {
				return
			}
		}
	}
	f.result.refused[workspace]++
	if priority == template.PriorityTag && workspace > 0 {
		f.result.tagsRefused++
	}
}

func (f *testFleet) try(engine int, workspace string, priority template.Priority, tokens int, last bool) bool {
	now, home := time.Now(), engine%fleetHomes
	mean, grown := f.means(home, now)
	reservation, err := f.admission[home].Admit(Request{
		Engine:              f.engines[engine].ID,
		Model:               "m",
		Workspace:           workspace,
		Priority:            priority,
		Tokens:              f.estimator.Estimate(workspace, priority, 2048),
		MeanTokens:          mean,
		ProjectedMeanTokens: grown,
		LastResort:          last,
	}, Assignment{Role: RoleHome, Since: now.Add(-time.Hour), SoleRouter: true}, now)
	if err != nil {
		if code.Of(err).RetryAfterMS == 0 {
			panic(err)
		}
		return false
	}
	f.running[engine] = append(f.running[engine], &running{reservation, tokens, tokens})
	f.result.starts[engine]++
	f.result.peak = max(f.result.peak, len(f.running[engine]))
	return true
}

// advance delivers the tokens of one tick: two in three ticks, one every 30 ms.
func (f *testFleet) advance(tick int) {
	for e := range f.running {
		kept := f.running[e][:0]
		for _, r := range f.running[e] {
			if tick%3 != 0 {
				r.left--
				r.reservation.TokenDelivered()
			}
			if r.left > 0 {
				kept = append(kept, r)
				continue
			}
			f.finish(r)
		}
		f.running[e] = kept
	}
}

func (f *testFleet) finish(r *running) {
	r.reservation.Release()
	request := r.reservation.request
	f.estimator.Observe(request.Workspace, request.Priority, r.tokens)
}

// measure keeps the largest load above the floor over the mean.
func (f *testFleet) measure() {
	total, largest := 0, 0
	for e, node := range f.engines {
		_, tokens := f.ledgers[e%fleetHomes].Load(node.ID)
		total += tokens
		largest = max(largest, tokens)
	}
	if time.Since(f.begun) < fleetWarmUp {
		return
	}
	mean := float64(total) / fleetEngines
	f.result.samples++
	f.result.mean += mean
	skew := 1.0
	if largest > fleetLimits.EngineFloorTokens {
		skew = float64(largest) / mean
	}
	f.result.maxSkew = max(f.result.maxSkew, skew)
	f.result.sumSkew += skew
}

func (f *testFleet) share() {
	if time.Since(f.summed) < fleetLag {
		return
	}
	f.summed = time.Now()
	for h, ledger := range f.ledgers {
		f.sums[h] = ledger.LoadByModel()["m"].Tokens
	}
}

// runFleet runs load under a seed and virtual time.
func runFleet(t *testing.T, seed uint64, load fleetLoad) (result fleetResult) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(seed)
		var due [fleetWorkspaces]float64
		for tick := range int(load.duration / fleetTick) {
			for w := range fleetWorkspaces {
				rate := load.rate
				if w == 0 && load.flooding > 0 {
					rate *= load.flooding
				}
				for due[w] += rate * fleetTick.Seconds() * 2 * f.random.Float64(); due[w] >= 1; due[w]-- {
					f.ask(w)
				}
			}
			f.advance(tick)
			f.share()
			f.measure()
			time.Sleep(fleetTick)
		}
		result = f.result
	})
	return result
}

// runSeeds runs load under three seeds and returns the sum of the results.
func runSeeds(t *testing.T, load fleetLoad) fleetResult {
	var sum fleetResult
	for seed := range uint64(3) {
		result := runFleet(t, 4+seed, load)
		sum.add(&result)
	}
	return sum
}

// add adds the counts of other, and keeps the larger of what is largest.
func (r *fleetResult) add(other *fleetResult) {
	for w := range fleetWorkspaces {
		r.asked[w] += other.asked[w]
		r.refused[w] += other.refused[w]
		r.attempts[w] += other.attempts[w]
	}
	for e := range fleetEngines {
		r.starts[e] += other.starts[e]
	}
	r.tags += other.tags
	r.tagsRefused += other.tagsRefused
	r.samples += other.samples
	r.sumSkew += other.sumSkew
	r.mean += other.mean
	r.maxSkew = max(r.maxSkew, other.maxSkew)
	r.peak = max(r.peak, other.peak)
}

// TestFloodLeavesOthersAlone compares runs with and without a flood of 50 times
// from one workspace, from a light load to a little more than the fleet carries.
func TestFloodLeavesOthersAlone(t *testing.T) {
	for _, rate := range []float64{2, 6, 8} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			t.Parallel()
			calm := runSeeds(t, fleetLoad{rate: rate, duration: time.Minute})
			flood := runSeeds(t, fleetLoad{rate: rate, flooding: 50, duration: time.Minute})
			calm.log(t, "calm")
			flood.log(t, "flood")
			compareFlood(t, &calm, &flood)
			checkEngines(t, &flood)
		})
	}
}

// compareFlood checks that the others' refusals, attempts and refused tags are
// within 1.2 times of the run without the flood.
func compareFlood(t *testing.T, calm, flood *fleetResult) {
	const most = 1.2
	calmRefused, calmAttempts := calm.others()
	floodRefused, floodAttempts := flood.others()
	if floodRefused > most*calmRefused {
		t.Errorf("the others' refusals rise from %.4f to %.4f", calmRefused, floodRefused)
	}
	if floodAttempts > most*calmAttempts {
		t.Errorf("the others' attempts rise from %.3f to %.3f", calmAttempts, floodAttempts)
	}
	if float64(flood.tagsRefused) > most*float64(calm.tagsRefused) {
		t.Errorf("the others' refused tags rise from %d to %d", calm.tagsRefused, flood.tagsRefused)
	}
}

func checkEngines(t *testing.T, r *fleetResult) {
	if r.peak > fleetLimits.EngineRequests {
		t.Errorf("%d requests at one engine, the cap is %d", r.peak, fleetLimits.EngineRequests)
	}
	if least := slices.Min(r.starts[:]); least*fleetEngines < r.admitted()/2 {
		t.Errorf("one engine got %d of %d requests", least, r.admitted())
	}
	if skew := r.sumSkew / float64(r.samples); skew > fleetLimits.LoadMultiple {
		t.Errorf("the average of max/mean is %.3f", skew)
	}
}

// TestRoomIsNotRefused checks that a fleet that fills up from nothing within a
// second refuses nothing, although the sums of peers are late.
func TestRoomIsNotRefused(t *testing.T) {
	surge := runFleet(t, 4, fleetLoad{rate: 20, duration: time.Second})
	surge.log(t, "surge")
	for w, refused := range surge.refused {
		if refused > 0 {
			t.Errorf("workspace %d: %d of %d are refused", w, refused, surge.asked[w])
		}
	}
}

// admitted returns the number of requests that engines got.
func (r *fleetResult) admitted() int {
	sum := 0
	for _, starts := range r.starts {
		sum += starts
	}
	return sum
}

func (r *fleetResult) log(t *testing.T, name string) {
	refused, attempts := r.others()
	samples := float64(max(1, r.samples))
	t.Logf("%s: others refused %.4f, attempts %.3f; flooding workspace refused %d of %d; tags refused %d of %d; "+
		"max/mean average %.3f, largest %.3f; mean %.0f tokens; most requests %d", name, refused, attempts,
		r.refused[0], r.asked[0], r.tagsRefused, r.tags, r.sumSkew/samples, r.maxSkew, r.mean/samples, r.peak)
}
