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

func runAll(d Deployment) []*Result {
	work := Work(d, workSeed)
	ways := map[Scenario][]Way{
		Steady: {
			&PerfectWay{}, &HomeWay{Hints: true}, &HomeWay{Index: true}, &HomeWay{},
			&EntryWay{}, &SubsetWay{}, &TwoWay{}, &PlainWay{},
		},
		Engines: {&PerfectWay{}, &HomeWay{Hints: true}, &HomeWay{Index: true}},
		Routers: {&HomeWay{Hints: true}, &HomeWay{Index: true}},
	}
	var all []*Result
	for _, s := range []Scenario{Steady, Engines, Routers} {
		for _, way := range ways[s] {
			all = append(all, Run(d, s, way, work))
		}
	}
	return all
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
