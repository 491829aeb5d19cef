package routebench

import "math/rand/v2"

// TwoWay takes the less loaded of two random engines, by reported load.
type TwoWay struct {
	reports
	random *rand.Rand
}

// Name returns the way's name in tables.
func (w *TwoWay) Name() string { return "random of two" }

// Start prepares the way for a fleet.
func (w *TwoWay) Start(f *Fleet) {
	w.fleet = f
	w.random = rand.New(rand.NewPCG(1, 2))
}

// Place chooses without a cap.
func (w *TwoWay) Place(*Request, int) Placement {
	first, second := w.draw(), w.draw()
	if w.fleet.engines[second].reported < w.fleet.engines[first].reported {
		first = second
	}
	return Placement{Engine: first, Asked: 1}
}

func (w *TwoWay) draw() int {
	for {
		number := w.random.IntN(len(w.fleet.engines))
		if w.fleet.engines[number].live {
			return number
		}
	}
}
