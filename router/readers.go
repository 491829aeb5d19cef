package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/rank"
	"cardamompoint.example/cardamompoint/router/member"
)

const (
	// readersPerDomain is the number of routers in each failure domain that read
	// from the platform continuously.
	readersPerDomain = 2
	// maxConfirmationAge is the age of the last confirmation above which any router
	// reads from the platform itself.
	maxConfirmationAge = 4 * time.Second
	// fallbackReadsPerSecond bounds the reads of all routers together that lack a
	// recent confirmation, for the configuration and for the list separately.
	fallbackReadsPerSecond = 50
	// minFallbackPause is the shortest mean pause between such reads of one router.
	minFallbackPause = time.Second
	// maxFallbackBackoff is the largest factor on that pause after failed reads.
	maxFallbackBackoff = 4
)

// isReader reports whether self is one of the readers of its failure domain. The
// choice depends only on the list: even if a router hears no other one, the whole
// fleet still has few readers.
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

// fallbackPause returns the mean pause between the reads of one router without a
// recent confirmation, in a fleet with the given number of routers.
func fallbackPause(routers int) time.Duration {
	return max(minFallbackPause, time.Duration(routers)*time.Second/fallbackReadsPerSecond)
}

// randomDelay returns a random duration between 0 and twice the mean.
func randomDelay(mean time.Duration) time.Duration {
	return rand.N(2 * mean)
}

// jittered returns a random duration between half and one and a half of the mean.
func jittered(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}
