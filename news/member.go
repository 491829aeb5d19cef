package news

import "cardamompoint.example/cardamompoint/internal/clock"

// Member is another VM as its last report shows it.
type Member struct {
	Report Report
	// Heard is when the last report came.
	Heard clock.Boot
}
