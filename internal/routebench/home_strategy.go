package routebench

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/rank"
	"cardamompoint.example/cardamompoint/router/affinity"
	"cardamompoint.example/cardamompoint/router/balance"
	"cardamompoint.example/cardamompoint/router/source"
)

// HomeStrategy lets one router, the home of an engine, count the engine's load
// exactly and admit its requests. Homes exchange the sums of their loads, from
// which the mean is computed.
type HomeStrategy struct {
	// Hints reports whether callers echo the engine that served their chat last.
	Hints bool
	// Index reports whether homes keep an index of chats.
	Index bool

	fleet   *Fleet
	routers []*home
	// tokens is the sum of all loads as of the last exchange.
	tokens int
	// homes are the indexes of the engines' homes in routers.
	homes []int
	work  map[*Request]*heldWork
}

// heldWork is the capacity that one request in progress holds.
type heldWork struct {
	engine      int
	reservation *balance.Reservation
}

func (h *heldWork) release() {
	if h.reservation != nil {
		h.reservation.Release()
	}
	h.reservation = nil
}

// Name returns the strategy's name in tables.
func (s *HomeStrategy) Name() string {
	switch {
	case s.Hints:
		return "home, hints echoed"
	case s.Index:
		return "home, index"
	}
	return "home, neither"
}

// Start prepares the strategy for a fleet.
func (s *HomeStrategy) Start(f *Fleet) {
	s.fleet = f
	s.work = map[*Request]*heldWork{}
	for range f.deployment.Routers {
		s.routers = append(s.routers, newHome(f))
	}
	s.EnginesChanged()
}

// EnginesChanged determines the homes of all engines.
func (s *HomeStrategy) EnginesChanged() {
	numbers := map[string]int{}
	for i, address := range s.fleet.routers {
		numbers[address] = i
	}
	s.homes = s.homes[:0]
	for _, e := range s.fleet.engines {
		var buffer [1]source.VM
		home := s.fleet.view.RouterPool().AppendRanked(buffer[:0], rank.Key("home", e.address), 1)[0]
		s.homes = append(s.homes, numbers[home.Address])
	}
}

// Place asks the homes of the chat's candidates in order. If none admits the
// request, it asks those of the full engines once more as a last resort.
func (s *HomeStrategy) Place(r *Request, hint int) Placement {
	hinted := s.Hints && hint != noEngine
	first := noEngine
	if hinted {
		first = hint
	}
	var buffer [maxCandidates + 1]int
	candidates := s.fleet.candidates(buffer[:0], r, first)
	placement, full := s.search(r, hint, candidates, s.Index && r.Turn > 0 && !hinted)
	if placement.Engine != noEngine {
		return placement
	}
	placement.LastResort = true
	for _, number := range full {
		placement.Asked++
		if _, admitted := s.ask(number, r, affinity.LookupAny, true); admitted {
			placement.Engine = number
			break
		}
	}
	return placement
}

// search asks the homes of candidates. It returns the engines that were full.
func (s *HomeStrategy) search(r *Request, hint int, candidates []int, findContext bool) (placement Placement, full []int) {
	search := affinity.NewSearch(len(candidates), findContext)
	placement = Placement{Engine: noEngine}
	for len(full) < maxCandidates {
		at, mode, ok := search.Next()
		if !ok {
			break
		}
		number := candidates[at]
		placement.Asked++
		refusal, admitted := s.ask(number, r, mode, false)
		if admitted {
			placement.Engine = number
			break
		}
		if refusal == affinity.RefusalFull {
			full = append(full, number)
			placement.HintFull = placement.HintFull || number == hint
		}
		if refusal == affinity.RefusalContextLeft {
			search.RecordContextLeft(s.sinceAdmission(number, r))
			continue
		}
		search.RecordRefusal(refusal)
	}
	return placement, full
}

// ask asks the home of one engine to admit the request.
func (s *HomeStrategy) ask(number int, r *Request, mode affinity.LookupMode, lastResort bool) (affinity.Refusal, bool) {
	router, address := s.routers[s.homes[number]], s.fleet.engines[number].address
	now := s.fleet.clock()
	if refusal, declined := router.index.Check(address, r.Key, mode, now); declined {
		return refusal, false
	}
	reservation, err := router.admit(address, r, s.mean(), s.fleet.live, lastResort, now)
	if err != nil {
		router.index.RecordRefusal(address, r.Key, now)
		return affinity.RefusalFull, false
	}
	router.index.Record(address, r.Key, affinity.ContextHere, now)
	s.work[r] = &heldWork{number, reservation}
	return 0, true
}

// sinceAdmission returns how long ago an engine admitted the chat, which its home
// reports with the refusal.
func (s *HomeStrategy) sinceAdmission(number int, r *Request) time.Duration {
	router, address := s.routers[s.homes[number]], s.fleet.engines[number].address
	return router.index.SinceAdmission(address, r.Key, s.fleet.clock())
}

// mean returns the mean load as of the last exchange. All summands are from the
// same time: if a home used its own current load instead, it would count work
// twice that has moved from another home's engines to its own.
func (s *HomeStrategy) mean() float64 {
	return float64(s.tokens) / float64(s.fleet.live)
}

// Release releases the capacity of a request.
func (s *HomeStrategy) Release(r *Request, _ Placement) {
	s.work[r].release()
	delete(s.work, r)
}

// Exchange sends each home's sums to all other homes.
func (s *HomeStrategy) Exchange() int {
	bytes := 0
	s.tokens = 0
	for _, router := range s.routers {
		sums := router.tracker.LoadByModel()
		s.tokens += sums[model].Tokens
		encoded, _ := json.Marshal(sums)
		bytes += len(encoded)
	}
	return bytes * 2 * (len(s.routers) - 1) / len(s.routers)
}

// RouterReplaced discards a router's counts and index. The new homes of its
// engines count the work in progress there, as when streams are resumed.
func (s *HomeStrategy) RouterReplaced(router int) {
	before := slices.Clone(s.homes)
	s.EnginesChanged()
	var moved []*Request
	for r, h := range s.work {
		if before[h.engine] == router || before[h.engine] != s.homes[h.engine] {
			moved = append(moved, r)
			h.release()
		}
	}
	s.routers[router] = newHome(s.fleet)
	slices.SortFunc(moved, func(a, b *Request) int { return cmp.Compare(a.At, b.At) })
	for _, r := range moved {
		s.resume(s.work[r], r)
	}
}

// unboundedMean is a mean load so high that the bound from the mean never limits
// an admission, in tokens.
const unboundedMean = 1e9

// resume counts work in progress at the engine's new home.
func (s *HomeStrategy) resume(h *heldWork, r *Request) {
	router, address := s.routers[s.homes[h.engine]], s.fleet.engines[h.engine].address
	reservation, err := router.admit(address, r, unboundedMean, s.fleet.live, false, s.fleet.clock())
	if err == nil {
		h.reservation = reservation
	}
}
