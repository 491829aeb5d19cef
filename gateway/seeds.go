package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// maxQueriedSeeds is the number of seeds that a starting VM queries.
const maxQueriedSeeds = 2

// startTimeouts bounds the waits of a VM that starts later than others.
type startTimeouts struct {
	// seeds is how long the VM waits for the response of a seed. If none responds, it reads the
	// store.
	seeds time.Duration
	// reports is the time after its start within which the VM receives reports from most
	// others, if there are any.
	reports time.Duration
}

// defaultStartTimeouts is short, so that a VM whose seeds are not available still starts
// quickly.
var defaultStartTimeouts = startTimeouts{seeds: 80 * time.Millisecond, reports: 600 * time.Millisecond}

// readStore reads the store while this VM is responsible for that, until ctx ends. A VM that
// starts later than others first queries some of them: usually a single VM starts, and reading
// the complete store takes several calls.
func (g *Gateway) readStore(ctx context.Context) {
	if !g.settings.FirstStart {
		g.querySeeds(ctx)
	}
	g.reader.Run(ctx)
}

// querySeeds queries some seeds. It returns when one has responded, when all have failed, or
// after a short time.
func (g *Gateway) querySeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, g.startTimeouts.seeds)
	defer cancel()
	seeds := g.otherSeeds()
	results := make(chan error, len(seeds))
	for _, seed := range seeds {
		go func() { results <- g.follower.FetchOnce(ctx, seed) }()
	}
	for range seeds {
		if err := <-results; err != nil {
			continue
		}
		if _, known := g.tracker.ConfirmedAt(); known {
			klog.InfoS("config: learned the current state from a seed", "seeds", seeds, "age_ms", g.tracker.Age(clock.Now()).Milliseconds())
			return
		}
	}
}

// otherSeeds returns up to maxQueriedSeeds seeds other than this VM, chosen at random.
func (g *Gateway) otherSeeds() []string {
	var others []string
	for _, ip := range seedIPs(g.settings.Seeds) {
		if ip != g.settings.IP {
			others = append(others, ip)
		}
	}
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	return others[:min(maxQueriedSeeds, len(others))]
}

// coveredBySeed reports whether a VM that has just started has fresh data from a seed, but not
// yet had the time to find out which VM reads the store.
func (g *Gateway) coveredBySeed() bool {
	now := clock.Now()
	return now.Sub(g.started) < g.startTimeouts.reports && g.tracker.Age(now) < knowledge.StaleAfter
}
