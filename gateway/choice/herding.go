package choice

// After a trouble of most endpoints, all VMs remember the same ones as sound, and each checks loads that lack what the
// others have sent since they reported. What is here keeps them from choosing alike until the outcomes are.

const (
	// soundExcess is the excess chance of a failure up to which a candidate counts as sound.
	soundExcess = 0.1
	// maxOptimism is the largest number of further standard errors that a VM takes off for some
	// endpoints, so that VMs with the same memory don't all try the same endpoint.
	maxOptimism = 1.0
)

// estimateExcess sets by how much each candidate clearly fails more often than the best one.
func (c *chooser) estimateExcess() {
	for i := range c.options {
		o := &c.options[i]
		doubt := failureDoubt
		if c.herding {
			doubt += c.table.optimism(o.state)
		}
		o.excess = max(0, o.failure-doubt*o.failureError-c.lowestFailure)
	}
}

// estimateUnseen sets what this VM and others don't know of each other's requests, if all VMs prefer the same
// candidates.
func (c *chooser) estimateUnseen() {
	if !c.herding {
		return
	}
	sound, newest := 0, 0.0
	for i := range c.options {
		o := &c.options[i]
		o.newest = o.state.newest.asOf(c.now)
		newest += o.newest
		if !o.excluded && !o.avoided && o.excess <= soundExcess {
			sound++
		}
	}
	byWork := float64(c.totalLoad-c.ownLoad) / float64(c.ownLoad+1)
	c.peerShare = min(byWork, float64(len(c.table.reports)))
	c.strictBound = c.table.loadMultiple*c.mean() + spareRequests
	c.unseen = newest * c.peerShare / float64(max(1, sound))
}

// overBound reports whether an option is above the load bound.
func (c *chooser) overBound(o *option, bound float64) bool {
	if float64(o.load) > bound {
		return true
	}
	if !c.herding {
		return false
	}
	return float64(o.load)+o.newest*c.peerShare > c.strictBound || c.draw*c.unseen > bound-float64(o.load)
}

// optimism returns by how many standard errors this VM trusts an endpoint more than its outcomes say. It
// differs between VMs and endpoints.
func (t *Table) optimism(s *state) float64 {
	return maxOptimism * float64(rendezvousScore(t.optimismSeed, s.hash)>>11) / (1 << 53)
}
