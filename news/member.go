package news

import "cardamompoint.example/cardamompoint/internal/clock"

// Member is another VM as its last report shows it.
type Member struct {
	Report Report
	// Heard is when the VM was last heard of.
	Heard clock.Boot
	// Direct tells that the VM itself has reported, not only others of it.
	Direct bool
}
