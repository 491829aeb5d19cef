package routebench

import (
	"fmt"
	"time"

	"cardamompoint.example/cardamompoint/internal/contextcache"
	"cardamompoint.example/cardamompoint/router/member"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/source"
)

const engineGroup = "pool"

// Fleet is the actual state of the simulated fleet.
type Fleet struct {
	// Now is the virtual time.
	Now time.Duration

	deployment  Deployment
	limits      settings.Limits
	engines     []*engine
	byAddress   map[string]int
	routers     []string
	listVersion int64
	view        *member.View
	// rankings caches the rankings of engines in the view, by chat key.
	rankings map[uint64][]int
	tokens   int
	live     int
}

// NewFleet returns an idle fleet.
func NewFleet(d Deployment) *Fleet {
	f := &Fleet{deployment: d, limits: settings.Defaults().Limits, byAddress: map[string]int{}}
	f.limits.LoadMultiple = d.LoadMultiple
	for range d.Engines {
		f.addEngine()
	}
	for i := range d.Routers {
		f.routers = append(f.routers, routerAddress(i))
	}
	f.publish()
	return f
}

// clock returns the virtual time in the form that the decision functions take.
func (f *Fleet) clock() time.Time {
	return time.Unix(0, 0).Add(f.Now)
}

func routerAddress(number int) string {
	return fmt.Sprintf("10.1.%d.%d:7001", number/250, number%250+1)
}

func (f *Fleet) addEngine() {
	number := len(f.engines)
	address := fmt.Sprintf("10.2.%d.%d:8000", number/250, number%250+1)
	f.engines = append(f.engines, &engine{address: address, live: true, cache: contextcache.New[int](cacheTokens)})
	f.byAddress[address] = number
	f.live++
}

// publish creates a new view of the fleet.
func (f *Fleet) publish() {
	f.listVersion++
	list := source.VMList{Version: f.listVersion}
	for _, address := range f.routers {
		list.VMs = append(list.VMs, source.VM{Address: address, Role: source.RoleRouter, State: source.StateLive})
	}
	for _, e := range f.engines {
		if e.live {
			list.VMs = append(list.VMs, source.VM{Address: e.address, Role: source.RoleEngine, Group: engineGroup, State: source.StateLive})
		}
	}
	table := member.NewTable(member.Identity{Address: f.routers[0]}, time.Hour)
	table.SetList(list, f.clock())
	f.view = table.View()
	f.rankings = map[uint64][]int{}
}

// replaceEngine replaces an engine by an idle one with a new address and an empty
// cache.
func (f *Fleet) replaceEngine(number int) {
	f.engines[number].live = false
	f.live--
	f.addEngine()
	f.publish()
}

// replaceRouter replaces a router by one with a new address.
func (f *Fleet) replaceRouter(number int) {
	f.routers[number] = routerAddress(f.deployment.Routers + number)
	f.publish()
}

// add counts a request in progress at an engine; a sign of -1 removes it.
func (f *Fleet) add(number int, r *Request, sign int) {
	e := f.engines[number]
	e.requests += sign
	e.tokens += sign * r.MaxAnswerTokens
	f.tokens += sign * r.MaxAnswerTokens
}

// mean returns the mean load in progress, in tokens.
func (f *Fleet) mean() float64 {
	return float64(f.tokens) / float64(f.live)
}

// maxCandidates bounds the number of candidates of a request.
const maxCandidates = 20

// maxEnginesWithRankings is the number of live engines up to which rankings are
// cached, to shorten long runs.
const maxEnginesWithRankings = 100

// ranked returns the indexes of the chat's highest-ranked engines, best first. A
// limit of 0 means all.
func (f *Fleet) ranked(r *Request, limit int) []int {
	if f.live > maxEnginesWithRankings {
		return f.rank(r.Key, limit)
	}
	order, ok := f.rankings[r.Key]
	if !ok {
		order = f.rank(r.Key, 0)
		f.rankings[r.Key] = order
	}
	if limit == 0 {
		return order
	}
	return order[:min(limit, len(order))]
}

func (f *Fleet) rank(key uint64, limit int) []int {
	var buffer [maxCandidates]source.VM
	vms := f.view.Pool(engineGroup).AppendRanked(buffer[:0], key, limit)
	order := make([]int, len(vms))
	for i, vm := range vms {
		order[i] = f.byAddress[vm.Address]
	}
	return order
}

// candidates appends the indexes of the chat's candidates to dst: the engine
// hint first, if it is live, then the highest-ranked engines.
func (f *Fleet) candidates(dst []int, r *Request, hint int) []int {
	if hint == noEngine || !f.engines[hint].live {
		return append(dst, f.ranked(r, maxCandidates)...)
	}
	dst = append(dst, hint)
	for _, number := range f.ranked(r, maxCandidates) {
		if number != hint {
			dst = append(dst, number)
		}
	}
	return dst
}

// underCap reports whether an engine with the given load may take the request:
// the engine is idle, or its load stays within the floor or within the multiple
// of the mean.
func (f *Fleet) underCap(load int, mean float64, r *Request) bool {
	after := load + r.MaxAnswerTokens
	if load == 0 || after <= f.limits.EngineFloorTokens {
		return true
	}
	return float64(after) <= f.limits.LoadMultiple*(mean+float64(r.MaxAnswerTokens)/float64(f.live))
}
