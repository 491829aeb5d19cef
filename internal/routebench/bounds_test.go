package routebench

import "testing"

// The minimum reuse of the home strategies, as a fraction of the reuse with
// perfect knowledge: without replacements, and while engines are replaced.
const (
	minSteadyReuse = 0.97
	minChurnReuse  = 0.95
)

// homeStrategies are the strategies that routers use.
var homeStrategies = []Strategy{&HomeStrategy{Hints: true}, &HomeStrategy{Index: true}}

func TestReuseOfReturningChats(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, b *deploymentBench) {
		perfect := reuseLimits(b.results())
		bounds := map[Scenario]float64{Steady: minSteadyReuse, Engines: minChurnReuse}
		for scenario, bound := range bounds {
			for _, strategy := range homeStrategies {
				reuse := b.find(scenario, strategy).Reuse() / perfect[scenario.Name]
				if reuse < bound {
					t.Errorf("%s, %s: %.4f of the limit, the bound is %.2f", scenario.Name, strategy.Name(), reuse, bound)
				}
			}
		}
	})
}

func TestReplacedRoutersMoveNoHintedChat(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, b *deploymentBench) {
		if r := b.find(Routers, &HomeStrategy{Hints: true}); r.Moved != 0 || r.Returning == 0 {
			t.Errorf("%d of %d returning chats moved", r.Moved, r.Returning)
		}
	})
}

func TestSpilledChatsAreFoundAgain(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, b *deploymentBench) {
		for _, strategy := range homeStrategies {
			r := b.find(Steady, strategy)
			if r.Spilled == 0 || r.Found != r.Spilled {
				t.Errorf("%s: %d of %d spilled chats were found again", r.Strategy, r.Found, r.Spilled)
			}
		}
	})
}

// TestLoadStaysBelowTheMultiple compares an engine's load after an admission
// with the largest mean that the last exchange of loads may have reported.
func TestLoadStaysBelowTheMultiple(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, b *deploymentBench) {
		for _, scenario := range []Scenario{Steady, Engines, Routers} {
			for _, strategy := range homeStrategies {
				r := b.find(scenario, strategy)
				if most := r.MaxLagged(); most > b.deployment.LoadMultiple {
					t.Errorf("%s, %s: %.3f times the mean, the multiple is %.2f", r.Scenario, r.Strategy, most, b.deployment.LoadMultiple)
				}
			}
		}
	})
}

func TestSameSeedGivesTheSameRun(t *testing.T) {
	first := Run(Urverk, Routers, &HomeStrategy{Index: true}, Workload(Urverk, workSeed)[:20000])
	second := Run(Urverk, Routers, &HomeStrategy{Index: true}, Workload(Urverk, workSeed)[:20000])
	if Table(Urverk, []*Result{first}) != Table(Urverk, []*Result{second}) {
		t.Error("two runs with one seed differ")
	}
}
