package shed

const (
	// minValue, valuePerSize and maxValue determine the value of an answer from the request's size
	// relative to the mean of its route. Value grows less than work does.
	minValue     = 0.3
	valuePerSize = 0.7
	maxValue     = 4.0
	// minSeen is the number of requests of a route from which they are compared.
	minSeen = 20
	// maxRoutes bounds the routes that are remembered.
	maxRoutes = 10_000
)

// routes are the usual requests of each route, by its name.
type routes map[string]usual

// usual describes the recent requests of a route.
type usual struct {
	// seen is the number of requests, up to minSeen.
	seen float64
	// size and work are the decayed means of the size and of the work for the value.
	size float64
	work float64
}

// classify records a request and returns its class.
func (m routes) classify(r Request) class {
	if r.Work <= 0 || r.Size <= 0 {
		return middleClass
	}
	if len(m) >= maxRoutes {
		clear(m)
	}
	u := m[r.Route]
	u.seen = min(u.seen+1, 1/newestWeight)
	weight := 1 / u.seen
	u.size += (r.Size - u.size) * weight
	work := r.Work / min(maxValue, minValue+valuePerSize*r.Size/u.size)
	u.work += (work - u.work) * weight
	m[r.Route] = u
	switch ratio := work / u.work; {
	case u.seen < minSeen:
		return middleClass
	case ratio < lightRatio:
		return lightClass
	case ratio > heavyRatio:
		return heavyClass
	default:
		return middleClass
	}
}
