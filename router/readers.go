package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/rank"
	"cardamompoint.example/cardamompoint/router/member"
)

const (
	// readersPerDomain is the number of routers of each failure domain that
	// read the platform all the time.
	readersPerDomain = 2
	// newsLimit is how old the news of the platform may get before a router
	// reads it by itself.
	maxConfirmationAge = 4 * time.Second
	// spareReads bounds the reads a second of all routers together that have
	// no news, for the configuration and for the list each.
	fallbackReadsPerSecond = 50
	// minSparePause bounds the reads of one router without news.
	minFallbackPause = time.Second
	// maxBackoff multiplies the pause of a router whose reads fail.
	maxFallbackBackoff = 4
)

// isReader reports whether self is among the readers of its failure domain.
// The choice depends on the list alone: with no router heard, the readers of
// the whole fleet are still few.
func isReader(view *member.View, self member.Identity) bool {
	if view.List.Version == 0 {
		return false
	}
	var domain []rank.Node
	for _, vm := range view.Routers {
		if vm.FailureDomain == self.FailureDomain {
			domain = append(domain, rank.NewNode(vm.Address, 1))
		}
	}
	best := rank.Top(rank.Key("reader", self.FailureDomain), domain, readersPerDomain)
	return slices.ContainsFunc(best, func(index int) bool { return domain[index].ID == self.Address })
}

// sparePause is the mean pause between the reads of one router without news,
// in a fleet with the given number of routers.
func fallbackPause(routers int) time.Duration {
	return max(minFallbackPause, time.Duration(routers)*time.Second/fallbackReadsPerSecond)
}

// spread returns a random time up to twice the mean.
func randomDelay(mean time.Duration) time.Duration {
	return rand.N(2 * mean)
}

// around returns a random time between half and one and a half of the mean.
func jittered(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}
