// Package reportnet carries the reports of emulated VMs in virtual time, with delays and losses, for
// tests of what VMs conclude from them.
package reportnet

import (
	"math/rand/v2"
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/internal/clock"
)

const (
	// largeFleet is the number of VMs above which a report goes to largeFleetTargets random VMs,
	// and not to all.
	largeFleet        = 12
	largeFleetTargets = 4
	// smallFleetPeriod and largeFleetPeriod are the times between two reports of a VM.
	smallFleetPeriod = 200 * time.Millisecond
	largeFleetPeriod = 250 * time.Millisecond
	// delayStep is the unit of delays, maxDelaySteps bounds the delay of a report.
	delayStep     = 10 * time.Millisecond
	maxDelaySteps = 4
)

// Network delivers reports between VMs, which are identified by their index. It is not safe for
// concurrent use.
type Network struct {
	// VMs is the number of VMs, Loss the share of the reports that are lost.
	VMs    int
	Loss   float64
	Random *rand.Rand

	inTransit []datagram
}

// datagram is a report on its way to one VM.
type datagram struct {
	to     int
	at     clock.Boot
	report gossip.Report
}

// Large reports whether reports go to some VMs only.
func (n *Network) Large() bool {
	return n.VMs > largeFleet
}

// Period returns the time between two reports of a VM.
func (n *Network) Period() time.Duration {
	if n.Large() {
		return largeFleetPeriod
	}
	return smallFleetPeriod
}

// Send sends a report of one VM to the others.
func (n *Network) Send(from int, report gossip.Report, now clock.Boot) {
	targets := n.Random.Perm(n.VMs)
	if n.Large() {
		targets = targets[:largeFleetTargets]
	}
	for _, to := range targets {
		if to != from && n.Random.Float64() >= n.Loss {
			n.inTransit = append(n.inTransit, datagram{to, now.Add(time.Duration(n.Random.IntN(maxDelaySteps)) * delayStep), report})
		}
	}
}

// Deliver calls apply with each report that is due and the VM that receives it.
func (n *Network) Deliver(now clock.Boot, apply func(to int, report gossip.Report)) {
	n.inTransit = slices.DeleteFunc(n.inTransit, func(d datagram) bool {
		if d.at > now {
			return false
		}
		apply(d.to, d.report)
		return true
	})
}
