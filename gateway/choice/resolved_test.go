package choice

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// TestChoiceSeesEndpointsThatStartAnew picks from one list of candidates before and
// after an endpoint started anew: what is noted of the new one counts.
func TestChoiceSeesEndpointsThatStartAnew(t *testing.T) {
	endpoints := testEndpoints(2)
	table := newTestTable(endpoints)
	now := clock.Boot(time.Hour)
	prompt := &traffic.Prompt{}
	if _, ok := table.Pick(endpoints, prompt, testObjective, none, now); !ok {
		t.Fatal("nothing was picked")
	}
	again := *endpoints[0]
	again.StartedMS = 7
	table.Update(&knowledge.Snapshot{Endpoints: map[string]*traffic.Endpoint{again.ID: &again, endpoints[1].ID: endpoints[1]}})
	table.Avoid(again.ID, now.Add(time.Minute))
	for range 10 {
		if pick, _ := table.Pick(endpoints, prompt, testObjective, none, now); pick.Endpoint.ID == again.ID {
			t.Fatal("the avoided endpoint was picked")
		}
	}
}
