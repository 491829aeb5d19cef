package news

import (
	"cardamompoint.example/cardamompoint/internal/clock"
	"cardamompoint.example/cardamompoint/rank"
)

// drawKey draws the order of the VMs for duties.
const drawKey = "reader"

// Member is another VM as its last report shows it.
type Member struct {
	Report Report
	// Heard is when the VM was last heard of, directly or through others.
	Heard clock.Boot
	// Reported is when Report came from the VM itself, 0 if others told of it.
	Reported clock.Boot
	// Draw orders the VMs for duties.
	Draw uint64

	// place is the member's index in the list of the Table.
	place int
}

// DrawOf returns the place of a VM in the order for duties; the highest goes first.
func DrawOf(address string) uint64 {
	return rank.Key(drawKey, address)
}
