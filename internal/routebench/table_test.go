package routebench

import (
	"flag"
	"os"
	"path/filepath"
	"sync"
	"testing"
)

var update = flag.Bool("update", false, "update the golden tables")

const workSeed = 4

// deploymentBench runs all strategies on one deployment, once for all tests.
type deploymentBench struct {
	deployment Deployment
	results    func() []*Result
}

func newDeploymentBench(d Deployment) *deploymentBench {
	return &deploymentBench{d, sync.OnceValue(func() []*Result { return runAll(d) })}
}

var benches = []*deploymentBench{newDeploymentBench(Gelek), newDeploymentBench(Urverk)}

// plannedRun is the run for one row of a table.
type plannedRun struct {
	scenario Scenario
	strategy Strategy
}

// plannedRuns returns the runs of a table, each with its own strategy value.
func plannedRuns() []plannedRun {
	return []plannedRun{
		{Steady, &PerfectStrategy{}},
		{Steady, &HomeStrategy{Hints: true}},
		{Steady, &HomeStrategy{Index: true}},
		{Steady, &HomeStrategy{}},
		{Steady, &EntryStrategy{}},
		{Steady, &SubsetStrategy{}},
		{Steady, &TwoChoicesStrategy{}},
		{Steady, &PlainStrategy{}},
		{Engines, &PerfectStrategy{}},
		{Engines, &HomeStrategy{Hints: true}},
		{Engines, &HomeStrategy{Index: true}},
		{Routers, &HomeStrategy{Hints: true}},
		{Routers, &HomeStrategy{Index: true}},
	}
}

// runAll runs all strategies concurrently with the same workload.
func runAll(d Deployment) []*Result {
	work, planned := Workload(d, workSeed), plannedRuns()
	results := make([]*Result, len(planned))
	var runs sync.WaitGroup
	for i, p := range planned {
		runs.Go(func() { results[i] = Run(d, p.scenario, p.strategy, work) })
	}
	runs.Wait()
	return results
}

// find returns the result of one run, or nil.
func (b *deploymentBench) find(s Scenario, strategy Strategy) *Result {
	for _, r := range b.results() {
		if r.Scenario == s.Name && r.Strategy == strategy.Name() {
			return r
		}
	}
	return nil
}

// forEachDeployment runs test for each deployment.
func forEachDeployment(t *testing.T, test func(t *testing.T, b *deploymentBench)) {
	for _, b := range benches {
		t.Run(b.deployment.Name, func(t *testing.T) {
			t.Parallel()
			test(t, b)
		})
	}
}

func TestTable(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, b *deploymentBench) {
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
