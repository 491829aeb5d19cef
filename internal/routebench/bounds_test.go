package routebench

import "testing"

// The bounds of the ways with homes, as parts of the reuse with perfect
// knowledge.
const (
	steadyReuse = 0.97
	churnReuse  = 0.95
)

// homeWays are the ways that routers use.
var homeWays = []Way{&HomeWay{Hints: true}, &HomeWay{Index: true}}

func TestReuseOfReturningChats(t *testing.T) {
	eachBench(t, func(t *testing.T, b *bench) {
		perfect := limits(b.results())
		bounds := map[Scenario]float64{Steady: steadyReuse, Engines: churnReuse}
		for scenario, bound := range bounds {
			for _, way := range homeWays {
				reuse := b.find(scenario, way).Reuse() / perfect[scenario.Name]
				if reuse < bound {
					t.Errorf("%s, %s: %.4f of the limit, the bound is %.2f", scenario.Name, way.Name(), reuse, bound)
				}
			}
		}
	})
}

func TestReplacedRoutersMoveNoHintedChat(t *testing.T) {
	eachBench(t, func(t *testing.T, b *bench) {
		if r := b.find(Routers, &HomeWay{Hints: true}); r.Moved != 0 || r.Returning == 0 {
			t.Errorf("%d of %d returning chats moved", r.Moved, r.Returning)
		}
	})
}

func TestSpilledChatsAreFoundAgain(t *testing.T) {
	eachBench(t, func(t *testing.T, b *bench) {
		for _, way := range homeWays {
			r := b.find(Steady, way)
			if r.Spilled == 0 || r.Found != r.Spilled {
				t.Errorf("%s: %d of %d spilled chats were found again", r.Way, r.Found, r.Spilled)
			}
		}
	})
}

// TestLoadStaysBelowTheMultiple compares an engine's load after an admission
// with the largest mean that the last exchange of loads may have shown.
func TestLoadStaysBelowTheMultiple(t *testing.T) {
	eachBench(t, func(t *testing.T, b *bench) {
		for _, scenario := range []Scenario{Steady, Engines, Routers} {
			for _, way := range homeWays {
				r := b.find(scenario, way)
				if most := r.MaxLagged(); most > b.deployment.Multiple {
					t.Errorf("%s, %s: %.3f times the mean, the multiple is %.2f", r.Scenario, r.Way, most, b.deployment.Multiple)
				}
			}
		}
	})
}

func TestSameSeedGivesTheSameRun(t *testing.T) {
	first := Run(Urverk, Routers, &HomeWay{Index: true}, Work(Urverk, workSeed)[:20000])
	second := Run(Urverk, Routers, &HomeWay{Index: true}, Work(Urverk, workSeed)[:20000])
	if Table(Urverk, []*Result{first}) != Table(Urverk, []*Result{second}) {
		t.Error("two runs with one seed differ")
	}
}
