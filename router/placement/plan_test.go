package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamompoint.example/cardamompoint/router/config"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/source"
)

func testEngines(count int) []source.VM {
	vms := make([]source.VM, count)
	for i := range vms {
		vms[i] = source.VM{Address: fmt.Sprintf("127.0.1.%d:7200", i+1), Role: source.RoleEngine, Group: "g"}
	}
	return vms
}

func minReplicas(model config.Model, _ int) int { return model.Min }

// TestPlanDoesNotDependOnOrder checks that two routers that have the same list of
// VMs in different orders compute the same plan.
func TestPlanDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := map[string]config.Model{}
		for i := range rapid.IntRange(1, 5).Draw(t, "models") {
			name := fmt.Sprintf("m%d", i)
			models[name] = config.Model{Name: name, Group: "g", Version: "1", Min: rapid.IntRange(0, 4).Draw(t, "min")}
		}
		vms := testEngines(rapid.IntRange(1, 20).Draw(t, "engines"))
		shuffled := rapid.Permutation(vms).Draw(t, "order")
		one, two := Plan(models, "g", vms, minReplicas), Plan(models, "g", shuffled, minReplicas)
		for address, desired := range one {
			if !desired.Matches(endpoint.EngineState{Models: two[address].Models}) {
				t.Fatalf("%s: %v and %v", address, desired, two[address])
			}
		}
	})
}

func TestPlanHasRequestedReplicas(t *testing.T) {
	models := map[string]config.Model{"m": {Name: "m", Group: "g", Version: "1", Min: 3, Max: 5}}
	loaded := 0
	for _, desired := range Plan(models, "g", testEngines(20), minReplicas) {
		loaded += len(desired.Models)
	}
	if loaded != 3 {
		t.Errorf("%d replicas, want 3", loaded)
	}
}

// TestLeavingEngineMovesItsOwnReplica checks that all other replicas stay where
// they are when an engine leaves.
func TestLeavingEngineMovesItsOwnReplica(t *testing.T) {
	models := map[string]config.Model{"m": {Name: "m", Group: "g", Version: "1", Min: 4}}
	vms := testEngines(12)
	before := Plan(models, "g", vms, minReplicas)
	for gone := range vms {
		rest := append(append([]source.VM{}, vms[:gone]...), vms[gone+1:]...)
		after := Plan(models, "g", rest, minReplicas)
		for _, vm := range rest {
			if len(before[vm.Address].Models) > len(after[vm.Address].Models) {
				t.Errorf("%s lost its replica when %s left", vm.Address, vms[gone].Address)
			}
		}
	}
}

func TestScalerStaysWithinBoundsAndDelaysScaleDown(t *testing.T) {
	scaler := NewScaler(1000)
	model := config.Model{Name: "m", Min: 2, Max: 6}
	now := time.Unix(0, 0)
	steps := []struct {
		after  time.Duration
		tokens int
		want   int
	}{
		{0, 0, 2},
		{time.Second, 2000, 3},
		{time.Second, 90000, 6},
		{time.Second, 4000, 6},
		{time.Second, 100, 6},
		{scaleDownDelay, 100, 5},
		{time.Second, 100, 5},
		{scaleDownDelay, 100, 4},
		{time.Second, 1500, 4},
		{2 * scaleDownDelay, 100, 4},
		{scaleDownDelay, 100, 3},
		{scaleDownDelay, 100, 2},
		{2 * scaleDownDelay, 0, 2},
	}
	for i, step := range steps {
		now = now.Add(step.after)
		if got := scaler.Replicas(model, 20, step.tokens, now); got != step.want {
			t.Errorf("step %d: %d replicas, want %d", i, got, step.want)
		}
	}
}

func TestNextStepLoadsOneModelAtATime(t *testing.T) {
	desired := DesiredState{Models: []endpoint.LoadedModel{{Model: "a", Version: "2"}, {Model: "b", Version: "1"}, {Model: "c", Version: "1"}}}
	state := endpoint.EngineState{Models: []endpoint.LoadedModel{{Model: "a", Version: "1"}, {Model: "c", Version: "1"}}}
	steps := 0
	for !desired.Matches(state) {
		next, loads := desired.NextStep(state)
		if !loads || len(next) > len(state.Models)+1 {
			t.Fatalf("step %d goes from %v to %v", steps, state.Models, next)
		}
		state.Models = next
		steps++
	}
	if steps != 2 {
		t.Errorf("%d steps, want 2", steps)
	}
}

func TestFencingTokenIncreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		revision := rapid.Int64Range(0, 1<<38).Draw(t, "revision")
		list := rapid.Int64Range(0, 1<<listVersionBits-2).Draw(t, "list")
		if FencingToken(revision, list) >= FencingToken(revision, list+1) {
			t.Error("a newer list version has no higher token")
		}
		if FencingToken(revision, 1<<listVersionBits-1) >= FencingToken(revision+1, 0) {
			t.Error("a newer revision has no higher token")
		}
	})
}
