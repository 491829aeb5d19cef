package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// maxAskedSeeds is the number of seeds that a VM asks at its start what they know.
const maxAskedSeeds = 2

// startTimeouts bound what a VM that starts later than others waits for.
type startTimeouts struct {
	// seeds is how long a seed may take to tell what it knows: if none does, the store
	// is read.
	seeds time.Duration
	// reports is how long after its start the VM has heard most others, if some are
	// there.
	reports time.Duration
}

// defaultStartTimeouts keep the start of a VM whose seeds are away short.
var defaultStartTimeouts = startTimeouts{seeds: 80 * time.Millisecond, reports: 600 * time.Millisecond}

// readStore reads the store while it is this VM's duty, until ctx ends. A VM that
// starts later than the others first asks some of them: most starts are of one VM
// alone, and a whole read takes several calls.
func (g *Gateway) readStore(ctx context.Context) {
	if !g.settings.FirstStart {
		g.askSeeds(ctx)
	}
	g.reader.Run(ctx)
}

// askSeeds returns when one seed has told what it knows, when all have failed, or
// after a short time.
func (g *Gateway) askSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, g.startTimeouts.seeds)
	defer cancel()
	seeds := g.otherSeeds()
	failures := make(chan error, len(seeds))
	for _, seed := range seeds {
		go func() { failures <- g.follower.FetchOnce(ctx, seed) }()
	}
	for range seeds {
		if err := <-failures; err != nil {
			continue
		}
		if _, known := g.tracker.ConfirmedAt(); known {
			klog.InfoS("config: a seed told what it knows", "seeds", seeds, "age_ms", g.tracker.Age(clock.Now()).Milliseconds())
			return
		}
	}
}

// otherSeeds returns some seeds other than this VM.
func (g *Gateway) otherSeeds() []string {
	var others []string
	for _, ip := range seedIPs(g.settings.Seeds) {
		if ip != g.settings.IP {
			others = append(others, ip)
		}
	}
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	return others[:min(maxAskedSeeds, len(others))]
}

// coveredBySeed reports whether a VM that has just started knows enough from a seed, but
// has not had the time to hear who reads the store.
func (g *Gateway) coveredBySeed() bool {
	now := clock.Now()
	return now.Sub(g.started) < g.startTimeouts.reports && g.tracker.Age(now) < knowledge.StaleAfter
}
