package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Result is what came of a run.
type Result struct {
	Scenario string
	Way      string
	// SharedRead, Copied and Wasted are tokens: of shared parts that were read, that
	// were copied, and that were read or made for answers that nobody got.
	SharedRead int
	Copied     int
	Wasted     int
	// Refusals counts the answers that told a caller to come back, Held is how long
	// they took together.
	Refusals int
	Held     time.Duration
	// Sends counts requests handed to engines, Uneven those to an engine that held more
	// than the allowed multiple of the mean.
	Sends  int
	Uneven int
	// Busy is how long the engines worked together.
	Busy time.Duration

	requests []*Request
}

// Shares tells what part of some requests was served, and in time.
type Shares struct {
	Requests int
	Served   float64
	InTime   float64
}

// The bound of the load: a multiple of the mean and a few more.
const (
	loadMultiple = 2.0
	loadSlack    = 3.0
)

func (r *Result) noteSend(f *Fleet, e *Engine) {
	r.Sends++
	if float64(e.load()) > loadMultiple*f.meanLoad()+loadSlack {
		r.Uneven++
	}
}

// Worth returns the part of the worth of all requests that came in time.
func (r *Result) Worth() float64 {
	asked, got := 0.0, 0.0
	for _, kind := range Kinds() {
		shares := r.Kind(kind.Name)
		asked += kind.Worth * float64(shares.Requests)
		got += kind.Worth * float64(shares.Requests) * shares.InTime
	}
	return got / asked
}

// All returns the shares of all requests.
func (r *Result) All() Shares {
	return r.shares(func(*Request) bool { return true })
}

// Kind returns the shares of one kind.
func (r *Result) Kind(name string) Shares {
	return r.shares(func(one *Request) bool { return one.Kind.Name == name })
}

// Workspace returns the shares of one workspace.
func (r *Result) Workspace(number int) Shares {
	return r.shares(func(one *Request) bool { return one.Workspace == number })
}

// WorstDomain returns the smallest shares of the failure domains of callers.
func (r *Result) WorstDomain() Shares {
	worst := Shares{Served: 2}
	for domain := range domains {
		shares := r.shares(func(one *Request) bool { return one.VM%domains == domain })
		if shares.Served < worst.Served {
			worst = shares
		}
	}
	return worst
}

// Largest returns the shares of the largest tenth of a kind, by the own part.
func (r *Result) Largest(name string) Shares {
	var sizes []int
	for _, one := range r.requests {
		if one.Kind.Name == name {
			sizes = append(sizes, one.Own+10*one.Answer)
		}
	}
	slices.SortFunc(sizes, cmp.Compare[int])
	least := sizes[len(sizes)*9/10]
	return r.shares(func(one *Request) bool { return one.Kind.Name == name && one.Own+10*one.Answer >= least })
}

func (r *Result) shares(of func(*Request) bool) Shares {
	shares := Shares{}
	for _, one := range r.requests {
		if !of(one) {
			continue
		}
		shares.Requests++
		if one.fate != Served {
			continue
		}
		shares.Served++
		if one.firstAt.Sub(one.At) <= one.Kind.Objective {
			shares.InTime++
		}
	}
	shares.Served /= float64(max(1, shares.Requests))
	shares.InTime /= float64(max(1, shares.Requests))
	return shares
}

// String returns a line of a table.
func (r *Result) String() string {
	var line strings.Builder
	fmt.Fprintf(&line, "%-27s %-18s %.3f ", r.Scenario, r.Way, r.Worth())
	for _, kind := range Kinds() {
		shares := r.Kind(kind.Name)
		fmt.Fprintf(&line, " %.2f/%.2f", shares.Served, shares.InTime)
	}
	small, domain := r.smallWorkspaces(), r.WorstDomain()
	fmt.Fprintf(&line, "  %.2f/%.2f %.2f/%.2f  %.2f", small.Served, small.InTime, domain.Served, domain.InTime, r.Largest("roster").Served)
	held := 0.0
	if r.Refusals > 0 {
		held = r.Held.Seconds() * 1000 / float64(r.Refusals)
	}
	fmt.Fprintf(&line, "  %6d %5.0f ms  %5.2f %5.2f %5.2f M  %.3f", r.Refusals, held, mega(r.SharedRead), mega(r.Copied), mega(r.Wasted), float64(r.Uneven)/float64(max(1, r.Sends)))
	return line.String()
}

func mega(tokens int) float64 {
	return float64(tokens) / 1e6
}

// smallWorkspaces returns the shares of all workspaces but the first.
func (r *Result) smallWorkspaces() Shares {
	return r.shares(func(one *Request) bool { return one.Workspace != 0 })
}
