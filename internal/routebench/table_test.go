package routebench

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write the golden tables anew")

const workSeed = 4

// results runs all ways on one deployment.
func results(t *testing.T, d Deployment) []*Result {
	t.Helper()
	work := Work(d, workSeed)
	var all []*Result
	for _, s := range []Scenario{Steady, Engines, Routers} {
		ways := []Way{&PerfectWay{}, &HomeWay{Hints: true}, &HomeWay{Index: true}}
		if s == Steady {
			ways = append(ways, &HomeWay{}, &EntryWay{}, &SubsetWay{}, &TwoWay{}, &PlainWay{})
		}
		for _, way := range ways {
			all = append(all, Run(d, s, way, work))
		}
	}
	return all
}

func TestTable(t *testing.T) {
	for _, d := range []Deployment{Gelek, Urverk} {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			table := Table(d, results(t, d))
			t.Log("\n" + table)
			golden := filepath.Join("testdata", d.Name+".golden")
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
}
