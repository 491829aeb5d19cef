package routebench

import (
	"encoding/json"

	"cardamompoint.example/cardamompoint/router/balance"
)

// EntryWay lets the router that takes the request decide. It counts what it
// sent itself and adds what the others told of theirs.
type EntryWay struct {
	fleet *Fleet
	own   [][]int
	told  [][]int
	total []int
	// ownSums, toldSums and totalSum are the sums over all engines.
	ownSums  []int
	toldSums []int
	totalSum int
}

// Name returns the way's name in tables.
func (w *EntryWay) Name() string { return "entry, lagged loads" }

// Start prepares the way for a fleet.
func (w *EntryWay) Start(f *Fleet) {
	w.fleet = f
	w.own = make([][]int, f.deployment.Routers)
	w.told = make([][]int, f.deployment.Routers)
	w.ownSums = make([]int, f.deployment.Routers)
	w.toldSums = make([]int, f.deployment.Routers)
	w.EnginesChanged()
}

// EnginesChanged makes room for new engines.
func (w *EntryWay) EnginesChanged() {
	size := len(w.fleet.engines)
	w.total = grow(w.total, size)
	for i := range w.own {
		w.own[i] = grow(w.own[i], size)
		w.told[i] = grow(w.told[i], size)
	}
}

func grow(counts []int, size int) []int {
	return append(counts, make([]int, size-len(counts))...)
}

// Place takes the first engine that the entry believes to be below the cap.
func (w *EntryWay) Place(r *Request, hint int) Placement {
	placement := Placement{Engine: none, home: r.Entry}
	mean := w.mean(r.Entry)
	var buffer [maxAsked + 1]int
	for _, number := range w.fleet.choices(buffer[:0], r, hint) {
		placement.Asked = 1
		if w.fleet.underCap(w.load(r.Entry, number), mean, r) {
			w.add(r.Entry, number, r.Bound)
			placement.Engine = number
			break
		}
		placement.HintFull = placement.HintFull || number == hint
	}
	return placement
}

func (w *EntryWay) load(entry, number int) int {
	return w.total[number] - w.told[entry][number] + w.own[entry][number]
}

func (w *EntryWay) mean(entry int) float64 {
	sum := w.totalSum - w.toldSums[entry] + w.ownSums[entry]
	return float64(sum) / float64(w.fleet.live)
}

func (w *EntryWay) add(entry, number, tokens int) {
	w.own[entry][number] += tokens
	w.ownSums[entry] += tokens
}

// Release gives back a request's room.
func (w *EntryWay) Release(r *Request, p Placement) {
	w.add(p.home, p.Engine, -r.Bound)
}

// Exchange sends each router's loads by engine to all others.
func (w *EntryWay) Exchange() int {
	clear(w.total)
	w.totalSum = 0
	bytes := 0
	for i, counts := range w.own {
		copy(w.told[i], counts)
		w.toldSums[i] = w.ownSums[i]
		w.totalSum += w.ownSums[i]
		message := map[string]balance.ModelLoad{}
		for number, tokens := range counts {
			w.total[number] += tokens
			if tokens > 0 {
				message[w.fleet.engines[number].address] = balance.ModelLoad{Tokens: tokens, Requests: 1}
			}
		}
		encoded, _ := json.Marshal(message)
		bytes += len(encoded)
	}
	return bytes * 2 * (len(w.own) - 1) / len(w.own)
}

// RouterReplaced is not counted for this way.
func (w *EntryWay) RouterReplaced(int) {}
