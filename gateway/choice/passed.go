package choice

// Passed describes the candidates that were passed over for an endpoint whose load is above the mean.
type Passed struct {
	// Bound is the load above which an endpoint gets no request while another one is below it, and
	// OverBound the number of candidates above it.
	Bound     float64 `json:"bound"`
	OverBound int     `json:"over_bound"`
	// Avoided is the number of candidates that are being avoided for a while.
	Avoided int `json:"avoided"`
	// Endpoint is the candidate with the lowest load that is not excluded. Load, FaultPercent, and
	// EndpointAvoided hold for it.
	Endpoint        string `json:"endpoint"`
	Load            int    `json:"load"`
	FaultPercent    int    `json:"fault_percent"`
	EndpointAvoided bool   `json:"endpoint_avoided,omitempty"`
}

// passedOver describes what was passed over for an option, nil if its load is not above the mean.
func (c *chooser) passedOver(chosen *option, bound float64) *Passed {
	if float64(chosen.load) <= c.mean() {
		return nil
	}
	passed := &Passed{Bound: bound}
	lowest := chosen
	for i := range c.options {
		o := &c.options[i]
		if c.overBound(o, bound) {
			passed.OverBound++
		}
		if o.avoided {
			passed.Avoided++
		}
		if !o.excluded && o.load < lowest.load {
			lowest = o
		}
	}
	passed.Endpoint, passed.Load = lowest.endpoint.ID, lowest.load
	passed.FaultPercent, passed.EndpointAvoided = int(lowest.failure*100), lowest.avoided
	return passed
}
