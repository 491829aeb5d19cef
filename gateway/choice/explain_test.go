package choice

import (
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/clock"
)

// TestExplanationAgreesWithTheChoice compares the first candidate with what is
// picked, for new and known chats under load, and checks that asking changes
// nothing.
func TestExplanationAgreesWithTheChoice(t *testing.T) {
	endpoints := testEndpoints(18)
	table := newTestTable(endpoints)
	now := clock.Boot(time.Hour)
	for request := range uint64(300) {
		now = now.Add(5 * time.Millisecond)
		prompt := chat(request%40, request)
		explained := table.Explain(endpoints, prompt, testObjective, now)
		table.Explain(endpoints, prompt, testObjective, now)
		pick, _ := table.Pick(endpoints, prompt, testObjective, none, now)
		from := ""
		if pick.FetchFrom != nil {
			from = pick.FetchFrom.ID
		}
		first := explained[0]
		if first.Endpoint != pick.Endpoint.ID || first.Reason != pick.Reason || first.FetchFrom != from || len(explained) != len(endpoints) {
			t.Fatalf("request %d goes to %s as %s from %q, explained were %+v", request, pick.Endpoint.ID, pick.Reason, from, first)
		}
		work := table.Begin(pick, prompt, now)
		if request%3 > 0 {
			work.End()
		}
	}
}
