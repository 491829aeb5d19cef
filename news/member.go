package news

import "cardamompoint.example/cardamompoint/internal/clock"

// Member is another VM as its last report shows it.
type Member struct {
	Report Report
	// Heard is when the VM was last heard of.
	Heard clock.Boot
}
