package knowledge

import (
	"testing"

	"cardamompoint.example/cardamompoint/gateway/traffic"
)

// TestFirstReadOfAnEraRecordsTheConfigurationAsNewest guards against VMs that ask others for a configuration that they have just applied.
func TestFirstReadOfAnEraRecordsTheConfigurationAsNewest(t *testing.T) {
	tracker := NewTracker(nil)
	update := Update{Full: true, Era: 1, Revision: 30, Items: append(twoEndpoints(1), inEra(1, configurationItem(2, 21)))}
	tracker.Apply(update, testStart)
	if newest, want := tracker.Newest(), (traffic.Position{Era: 1, Revision: 21}); newest != want {
		t.Errorf("the newest applied change is %v, want %v", newest, want)
	}
}
