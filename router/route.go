package router

import (
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/rank"
	"cardamompoint.example/cardamompoint/router/affinity"
	"cardamompoint.example/cardamompoint/router/api"
	"cardamompoint.example/cardamompoint/router/config"
	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/source"
	"cardamompoint.example/cardamompoint/router/template"
)

// Reasons for a candidate's place in the order.
const (
	reasonHint       = "hint"
	reasonRanked     = "ranked"
	reasonProbed     = "probed"
	reasonSpill      = "spill"
	reasonLastResort = "last"
)

// noEndpointRetryAfter is when a caller should retry if a model or service has no
// endpoint.
const noEndpointRetryAfter = 2 * time.Second

// candidate is an engine that may serve a chat.
type candidate struct {
	vm     source.VM
	reason string
	// lookup is how the engine's home uses its record of the chat's context.
	lookup affinity.LookupMode
	// lastResort reports whether no other candidate has capacity below the load
	// multiple.
	lastResort bool
}

// chooseModel returns the template's model for the chat: the requested one, or one
// chosen by weight. The choice depends only on the chat and the template.
func chooseModel(rules *template.Rules, chat, wanted string) (template.ModelChoice, error) {
	var nodes []rank.Node
	var choices []template.ModelChoice
	for _, choice := range rules.Completion.Models {
		if wanted != "" && choice.Model != wanted {
			continue
		}
		if wanted == "" && choice.Weight <= 0 {
			continue
		}
		choices = append(choices, choice)
		nodes = append(nodes, rank.NewNode(choice.Model, choice.Weight))
	}
	if len(choices) == 0 {
		return template.ModelChoice{}, code.New(code.InvalidParameter, "the template does not offer this model").At("$.model")
	}
	if len(choices) == 1 {
		return choices[0], nil
	}
	best := rank.Top(chatKey(rules.Workspace, chat), nodes, 1)
	return choices[best[0]], nil
}

// maxCandidates bounds the engines that one request may try, including those that
// fail in the middle of the answer.
const maxCandidates = maxFailedEngines + maxRefusals

// candidatesOf returns the engines that may serve the chat with a model, best
// first. hinted is the engine named by the caller's hint, or empty. Errors carry
// code.NoEndpoint.
func (r *Router) candidatesOf(snapshot *config.Snapshot, view *member.View, chat uint64, model, hinted string) ([]candidate, error) {
	declared, ok := snapshot.Models[model]
	if !ok {
		return nil, code.New(code.NoEndpoint, "the model %q is not declared", model).After(noEndpointRetryAfter)
	}
	pool := r.poolOf(view, declared)
	if pool.Len() == 0 {
		return nil, code.New(code.NoEndpoint, "the group %q has no live engine", declared.Group).After(noEndpointRetryAfter)
	}
	hint, ok := hintedEngine(view, declared.Group, hinted)
	if !ok {
		return candidates(pool, chat, nil), nil
	}
	return candidates(pool, chat, &hint), nil
}

// candidates returns up to maxCandidates engines of the pool for the chat, best
// first. hint, if not nil, is the engine that holds the chat's context according to
// the caller; it comes first, in addition to the others.
func candidates(pool *member.Pool, chat uint64, hint *source.VM) []candidate {
	var buffer [maxCandidates]source.VM
	order := pool.AppendRanked(buffer[:0], chat, maxCandidates)
	ranked := make([]candidate, 0, len(order)+1)
	if hint != nil {
		ranked = append(ranked, candidate{vm: *hint, reason: reasonHint})
	}
	for _, vm := range order {
		if hint == nil || vm.Address != hint.Address {
			ranked = append(ranked, candidate{vm: vm, reason: reasonRanked})
		}
	}
	return ranked
}

// hintedEngine returns the engine named by a hint, and whether it is live and in
// the group.
func hintedEngine(view *member.View, group, address string) (source.VM, bool) {
	vm, ok := view.Find(address)
	live := ok && vm.State != source.StateLeaving
	return vm, live && vm.Role == source.RoleEngine && vm.Group == group
}

// explain returns how the chat would be routed at present.
func (r *Router) explain(workspace, chat string) (*api.Explanation, error) {
	snapshot, view := r.store.Snapshot(), r.members.View()
	rules, err := snapshot.Rules(workspace)
	if err != nil {
		return nil, err
	}
	choice, err := chooseModel(rules, chat, "")
	if err != nil {
		return nil, err
	}
	ranked, err := r.candidatesOf(snapshot, view, chatKey(workspace, chat), choice.Model, "")
	if err != nil {
		return nil, err
	}
	explanation := &api.Explanation{Workspace: workspace, Chat: chat, Model: choice.Model}
	for _, c := range ranked {
		explanation.Candidates = append(explanation.Candidates, api.Candidate{
			Engine:        c.vm.Address,
			FailureDomain: c.vm.FailureDomain,
			Home:          r.homeOf(view, c.vm.Address),
			Reason:        c.reason,
		})
	}
	explanation.PassedOver = passedOver(view, snapshot.Models[choice.Model].Group)
	return explanation, nil
}

// passedOver returns the engines of the group that get no new work because they are
// leaving.
func passedOver(view *member.View, group string) []api.Candidate {
	var passed []api.Candidate
	for _, vm := range view.List.VMs {
		if vm.Group == group && vm.State == source.StateLeaving {
			passed = append(passed, api.Candidate{Engine: vm.Address, FailureDomain: vm.FailureDomain, Reason: "leaving"})
		}
	}
	return passed
}
