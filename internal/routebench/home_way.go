package routebench

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/affinity"
	"cardamompoint.example/cardamompoint/balance"
	"cardamompoint.example/cardamompoint/platform"
	"cardamompoint.example/cardamompoint/rank"
)

const model = "model"

// The bounds of a home's index.
const (
	indexEntries = 1 << 17
	indexKeep    = 30 * time.Minute
)

// HomeWay lets one router, the home of an engine, count the engine's load
// exactly. Homes exchange their sums, from which the mean is worked out.
type HomeWay struct {
	// Hints tells whether callers echo where their chat was last.
	Hints bool
	// Index tells whether homes keep an index of chats.
	Index bool

	fleet   *Fleet
	ledgers []*balance.Ledger
	indexes []*affinity.Index
	// tokens is the sum of the loads as of the last exchange.
	tokens int
	homes  []int
	work   map[*Request]*held
}

// held is the room of one request in progress.
type held struct {
	engine      int
	reservation *balance.Reservation
}

func (h *held) release() {
	if h.reservation != nil {
		h.reservation.Release()
	}
	h.reservation = nil
}

// Name returns the way's name in tables.
func (w *HomeWay) Name() string {
	switch {
	case w.Hints:
		return "home, hints echoed"
	case w.Index:
		return "home, index"
	}
	return "home, neither"
}

// Start prepares the way for a fleet.
func (w *HomeWay) Start(f *Fleet) {
	w.fleet = f
	w.work = map[*Request]*held{}
	for range f.deployment.Routers {
		w.ledgers = append(w.ledgers, balance.NewLedger(f.limits))
		w.indexes = append(w.indexes, affinity.NewIndex(indexEntries, indexKeep))
	}
	w.EnginesChanged()
}

// EnginesChanged finds the homes of all engines.
func (w *HomeWay) EnginesChanged() {
	numbers := map[string]int{}
	for i, address := range w.fleet.routers {
		numbers[address] = i
	}
	w.homes = w.homes[:0]
	for _, e := range w.fleet.engines {
		var buffer [1]platform.VM
		home := w.fleet.view.AppendRankedRouters(buffer[:0], rank.Key("home", e.address), 1)[0]
		w.homes = append(w.homes, numbers[home.Address])
	}
}

// Place asks the homes of the chat's engines in order.
func (w *HomeWay) Place(r *Request, hint int) Placement {
	hinted := w.Hints && hint != none
	first := none
	if hinted {
		first = hint
	}
	var buffer [maxAsked + 1]int
	choices := w.fleet.choices(buffer[:0], r, first)
	search := affinity.NewSearch(len(choices), w.Index && r.Turn > 0 && !hinted)
	placement := Placement{Engine: none}
	for refused := 0; refused < maxAsked; {
		at, lookup, ok := search.Next()
		if !ok {
			break
		}
		placement.Asked++
		refusal, admitted := w.ask(choices[at], r, lookup)
		if admitted {
			placement.Engine = choices[at]
			break
		}
		if refusal == affinity.RefusalFull {
			refused++
			placement.HintFull = placement.HintFull || choices[at] == hint
		}
		search.Refused(refusal)
	}
	return placement
}

// ask asks the home of one engine.
func (w *HomeWay) ask(number int, r *Request, lookup affinity.Lookup) (affinity.Refusal, bool) {
	home, address := w.homes[number], w.fleet.engines[number].address
	now := time.Time{}.Add(w.fleet.Now)
	if refusal, passed := w.indexes[home].Check(address, r.Key, lookup, now); passed {
		return refusal, false
	}
	reservation, err := w.reserve(home, address, r, w.mean())
	if err != nil {
		w.indexes[home].Note(address, r.Key, affinity.Elsewhere, now)
		return affinity.RefusalFull, false
	}
	w.indexes[home].Note(address, r.Key, affinity.Here, now)
	w.work[r] = &held{number, reservation}
	return 0, true
}

func (w *HomeWay) reserve(home int, address string, r *Request, mean float64) (*balance.Reservation, error) {
	return w.ledgers[home].Reserve(balance.Request{Engine: address, Model: model, Tokens: r.Bound, MeanTokens: mean})
}

// mean returns the mean load as of the last exchange. All parts are of one
// moment; a home that adds its own newest part counts work twice that went from
// another home's engines to its own.
func (w *HomeWay) mean() float64 {
	return float64(w.tokens) / float64(w.fleet.live)
}

// Release gives back a request's room.
func (w *HomeWay) Release(r *Request, _ Placement) {
	w.work[r].release()
	delete(w.work, r)
}

// Exchange sends each home's sums to all others.
func (w *HomeWay) Exchange() int {
	bytes := 0
	w.tokens = 0
	for _, ledger := range w.ledgers {
		sums := ledger.Sums()
		w.tokens += sums[model].Tokens
		encoded, _ := json.Marshal(sums)
		bytes += len(encoded)
	}
	return bytes * 2 * (len(w.ledgers) - 1) / len(w.ledgers)
}

// RouterReplaced drops a router's counts and index. The work in progress at
// its engines is counted by their new homes, as when streams are resumed.
func (w *HomeWay) RouterReplaced(router int) {
	before := slices.Clone(w.homes)
	w.EnginesChanged()
	var moved []*Request
	for r, h := range w.work {
		if before[h.engine] == router || before[h.engine] != w.homes[h.engine] {
			moved = append(moved, r)
			h.release()
		}
	}
	w.ledgers[router] = balance.NewLedger(w.fleet.limits)
	w.indexes[router] = affinity.NewIndex(indexEntries, indexKeep)
	slices.SortFunc(moved, func(a, b *Request) int { return cmp.Compare(a.At, b.At) })
	for _, r := range moved {
		w.resume(w.work[r], r)
	}
}

// unbounded is a mean above which no multiple of it binds.
const unbounded = 1e9

func (w *HomeWay) resume(h *held, r *Request) {
	reservation, err := w.reserve(w.homes[h.engine], w.fleet.engines[h.engine].address, r, unbounded)
	if err == nil {
		h.reservation = reservation
	}
}
