package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Result is the result of a simulation.
type Result struct {
	Scenario string
	Policy   string
	// SharedPrefillTokens is the number of prefilled tokens of shared parts, CopiedTokens
	// that of copied ones, and WastedTokens that of tokens that were prefilled or
	// generated for callers that left.
	SharedPrefillTokens int
	CopiedTokens        int
	WastedTokens        int
	// Refusals counts the refused attempts. RefusalTime is the total time from an attempt
	// to its refusal.
	Refusals    int
	RefusalTime time.Duration
	// Sends counts the requests sent to engines, OverBound those sent to an engine above
	// the load bound.
	Sends     int
	OverBound int
	// BusyTime is the total time of all steps of all engines.
	BusyTime time.Duration

	kinds    []Kind
	requests []*Request
}

// Shares are the shares of a set of requests that were served.
type Shares struct {
	// Requests is the number of requests in the set.
	Requests int
	// Served is the share that was served, InTime the share that had its first token within
	// the objective too, both from 0 to 1.
	Served float64
	InTime float64
}

// The load bound of an engine is loadMultiple times the mean load plus loadSlack requests.
const (
	loadMultiple = 2.0
	loadSlack    = 3.0
)

// recordSend counts a send to an engine.
func (r *Result) recordSend(sim *Simulation, e *Engine) {
	r.Sends++
	if float64(e.load()) > loadMultiple*sim.meanLoad()+loadSlack {
		r.OverBound++
	}
}

// Value returns the value of the requests served within their objective, as a share of
// the value of all.
func (r *Result) Value() float64 {
	total, inTime := 0.0, 0.0
	for _, kind := range r.kinds {
		shares := r.Kind(kind.Name)
		total += kind.Value * float64(shares.Requests)
		inTime += kind.Value * float64(shares.Requests) * shares.InTime
	}
	return inTime / total
}

// Worth returns the value of all served requests, in time or late, as a share of the value that all
// requests have in time. Unlike in Value, the value of a request grows with its size.
func (r *Result) Worth() float64 {
	return r.worth(true)
}

// WorthInTime returns Worth without the value of late answers.
func (r *Result) WorthInTime() float64 {
	return r.worth(false)
}

// worth returns the value of the requests served in time, and of late ones if late is true.
func (r *Result) worth(late bool) float64 {
	means := r.meanSizes()
	total, got := 0.0, 0.0
	for _, req := range r.requests {
		// The value grows less than the size does, as docs/SCARCE-CAPACITY.md states.
		factor := min(4, 0.3+0.7*float64(req.size())/means[req.Kind.Name])
		total += factor * req.Kind.Value
		switch {
		case req.inTime():
			got += factor * req.Kind.Value
		case late && req.outcome == Served:
			got += factor * req.Kind.LateValue
		}
	}
	return got / total
}

// meanSizes returns the mean size of the requests of each kind.
func (r *Result) meanSizes() map[string]float64 {
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, req := range r.requests {
		sums[req.Kind.Name] += float64(req.size())
		counts[req.Kind.Name]++
	}
	for name := range sums {
		sums[name] /= counts[name]
	}
	return sums
}

// largestKind returns the name of the kind with the largest prompts.
func (r *Result) largestKind() string {
	return slices.MaxFunc(r.kinds, func(a, b Kind) int { return cmp.Compare(a.SubjectTokens, b.SubjectTokens) }).Name
}

// All returns the shares of all requests.
func (r *Result) All() Shares {
	return r.shares(func(*Request) bool { return true })
}

// Kind returns the shares of the requests of one kind.
func (r *Result) Kind(name string) Shares {
	return r.shares(func(req *Request) bool { return req.Kind.Name == name })
}

// Workspace returns the shares of the requests of one workspace.
func (r *Result) Workspace(number int) Shares {
	return r.shares(func(req *Request) bool { return req.Workspace == number })
}

// WorstDomain returns the shares of the requests that arrived in the failure domain with
// the smallest served share.
func (r *Result) WorstDomain() Shares {
	worst := Shares{Served: 2}
	for domain := range domains {
		shares := r.shares(func(req *Request) bool { return req.VM%domains == domain })
		if shares.Served < worst.Served {
			worst = shares
		}
	}
	return worst
}

// Returning returns the shares of the requests that were refused at least once and whose
// caller came back.
func (r *Result) Returning() Shares {
	return r.shares(func(req *Request) bool { return req.attempts > 1 })
}

// Largest returns the shares of the largest tenth of a kind. The size of a request is its
// unique tokens plus 10 times its answer tokens.
func (r *Result) Largest(name string) Shares {
	var sizes []int
	for _, req := range r.requests {
		if req.Kind.Name == name {
			sizes = append(sizes, req.size())
		}
	}
	slices.SortFunc(sizes, cmp.Compare[int])
	minSize := sizes[len(sizes)*9/10]
	return r.shares(func(req *Request) bool {
		return req.Kind.Name == name && req.size() >= minSize
	})
}

// shares returns the shares of the requests for which include returns true.
func (r *Result) shares(include func(*Request) bool) Shares {
	shares := Shares{}
	for _, req := range r.requests {
		if !include(req) {
			continue
		}
		shares.Requests++
		if req.outcome != Served {
			continue
		}
		shares.Served++
		if req.inTime() {
			shares.InTime++
		}
	}
	shares.Served /= float64(max(1, shares.Requests))
	shares.InTime /= float64(max(1, shares.Requests))
	return shares
}

// String returns the result as a line of a table. Its columns are the scenario, the
// policy, the value share, served/in-time shares by kind, of all workspaces but the first
// and of the worst failure domain, the served share of the largest requests, refusals and
// their mean time, millions of prefilled, copied and wasted tokens, and the share of sends
// above the load bound.
func (r *Result) String() string {
	var line strings.Builder
	fmt.Fprintf(&line, "%-27s %-18s %.3f ", r.Scenario, r.Policy, r.Value())
	for _, kind := range r.kinds {
		shares := r.Kind(kind.Name)
		fmt.Fprintf(&line, " %.2f/%.2f", shares.Served, shares.InTime)
	}
	small, domain := r.smallWorkspaces(), r.WorstDomain()
	fmt.Fprintf(&line, "  %.2f/%.2f %.2f/%.2f  %.2f", small.Served, small.InTime, domain.Served, domain.InTime, r.Largest(r.largestKind()).Served)
	refusalMS := 0.0
	if r.Refusals > 0 {
		refusalMS = r.RefusalTime.Seconds() * 1000 / float64(r.Refusals)
	}
	fmt.Fprintf(&line, "  %6d %5.0f ms  %5.2f %5.2f %5.2f M  %.3f", r.Refusals, refusalMS, millions(r.SharedPrefillTokens), millions(r.CopiedTokens), millions(r.WastedTokens), float64(r.OverBound)/float64(max(1, r.Sends)))
	return line.String()
}

// millions converts tokens to millions.
func millions(tokens int) float64 {
	return float64(tokens) / 1e6
}

// smallWorkspaces returns the shares of the requests of all workspaces but the first.
func (r *Result) smallWorkspaces() Shares {
	return r.shares(func(req *Request) bool { return req.Workspace != 0 })
}
