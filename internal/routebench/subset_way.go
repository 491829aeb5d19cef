package routebench

import (
	"cardamompoint.example/cardamompoint/rank"
	"cardamompoint.example/cardamompoint/router/source"
)

// subsetPart is the part of the engines that one router uses.
const subsetPart = 0.5

// SubsetWay lets each router use a fixed part of the engines, by the load that
// they report and what it sent since.
type SubsetWay struct {
	reports
	subsets []map[int]bool
	sent    []map[int]int
}

// Name returns the way's name in tables.
func (w *SubsetWay) Name() string { return "subsets, reported loads" }

// Start prepares the way for a fleet.
func (w *SubsetWay) Start(f *Fleet) {
	w.fleet = f
	w.sent = make([]map[int]int, f.deployment.Routers)
	for i := range w.sent {
		w.sent[i] = map[int]int{}
	}
	w.EnginesChanged()
}

// EnginesChanged chooses the subsets anew.
func (w *SubsetWay) EnginesChanged() {
	size := int(subsetPart * float64(w.fleet.live))
	w.subsets = nil
	for _, router := range w.fleet.routers {
		subset := map[int]bool{}
		var buffer []source.VM
		for _, vm := range w.fleet.view.Pool(group).AppendRanked(buffer, rank.Key("subset", router), size) {
			subset[w.fleet.byAddress[vm.Address]] = true
		}
		w.subsets = append(w.subsets, subset)
	}
}

// Place takes the chat's first engine in the entry's subset that is below the
// cap.
func (w *SubsetWay) Place(r *Request, hint int) Placement {
	placement := Placement{Engine: none, Asked: 1}
	mean, sent := w.mean(), w.sent[r.Entry]
	var buffer [maxAsked + 1]int
	for _, number := range w.fleet.choices(buffer[:0], r, hint) {
		if !w.subsets[r.Entry][number] {
			continue
		}
		if w.fleet.underCap(w.fleet.engines[number].reported+sent[number], mean, r) {
			sent[number] += r.Bound
			placement.Engine = number
			break
		}
		placement.HintFull = placement.HintFull || number == hint
	}
	return placement
}

// Exchange reads the reports of each router's engines.
func (w *SubsetWay) Exchange() int {
	for _, sent := range w.sent {
		clear(sent)
	}
	return int(subsetPart * float64(w.reports.Exchange()))
}
