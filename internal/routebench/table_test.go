package routebench

import (
	"flag"
	"os"
	"path/filepath"
	"sync"
	"testing"
)

var update = flag.Bool("update", false, "write the golden tables anew")

const workSeed = 4

// bench runs the ways on one deployment, once for all tests.
type bench struct {
	deployment Deployment
	results    func() []*Result
}

func newBench(d Deployment) *bench {
	return &bench{d, sync.OnceValue(func() []*Result { return runAll(d) })}
}

var benches = []*bench{newBench(Gelek), newBench(Urverk)}

// plannedRun is one line of a table.
type plannedRun struct {
	scenario Scenario
	way      Way
}

// plannedRuns returns the runs of a table, each with a way of its own.
func plannedRuns() []plannedRun {
	return []plannedRun{
		{Steady, &PerfectWay{}},
		{Steady, &HomeWay{Hints: true}},
		{Steady, &HomeWay{Index: true}},
		{Steady, &HomeWay{}},
		{Steady, &EntryWay{}},
		{Steady, &SubsetWay{}},
		{Steady, &TwoWay{}},
		{Steady, &PlainWay{}},
		{Engines, &PerfectWay{}},
		{Engines, &HomeWay{Hints: true}},
		{Engines, &HomeWay{Index: true}},
		{Routers, &HomeWay{Hints: true}},
		{Routers, &HomeWay{Index: true}},
	}
}

// runAll runs all ways on the same work, side by side.
func runAll(d Deployment) []*Result {
	work, planned := Work(d, workSeed), plannedRuns()
	results := make([]*Result, len(planned))
	var runs sync.WaitGroup
	for i, p := range planned {
		runs.Go(func() { results[i] = Run(d, p.scenario, p.way, work) })
	}
	runs.Wait()
	return results
}

// find returns the result of one run.
func (b *bench) find(s Scenario, way Way) *Result {
	for _, r := range b.results() {
		if r.Scenario == s.Name && r.Way == way.Name() {
			return r
		}
	}
	return nil
}

// eachBench runs test for each deployment.
func eachBench(t *testing.T, test func(t *testing.T, b *bench)) {
	for _, b := range benches {
		t.Run(b.deployment.Name, func(t *testing.T) {
			t.Parallel()
			test(t, b)
		})
	}
}

func TestTable(t *testing.T) {
	eachBench(t, func(t *testing.T, b *bench) {
		table := Table(b.deployment, b.results())
		t.Log("\n" + table)
		golden := filepath.Join("testdata", b.deployment.Name+".golden")
		if *update {
			if err := os.WriteFile(golden, []byte(table), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(golden)
		if err != nil {
			t.Fatal(err)
		}
		if string(want) != table {
			t.Errorf("the table differs from %s", golden)
		}
	})
}
