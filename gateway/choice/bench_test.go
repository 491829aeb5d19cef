package choice

import (
	"fmt"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/gossip"
	"cardamompoint.example/cardamompoint/gateway/knowledge"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{18, 60, 140, 1000} {
		b.Run(fmt.Sprint("endpoints=", count), func(b *testing.B) {
			endpoints := testEndpoints(count)
			table := newTestTable(endpoints)
			now := clock.Boot(time.Hour)
			b.ReportAllocs()
			request := uint64(0)
			for b.Loop() {
				request++
				now = now.Add(time.Millisecond)
				prompt := chatPrompt(request%200, request)
				pick, _ := table.Pick(endpoints, Request{Prompt: prompt, Objective: testObjective}, excludeNone, now)
				table.Begin(pick, prompt, now).End()
			}
		})
	}
}

// BenchmarkPickContended chooses among 1,000 endpoints that all state their contention, of which none or 150 are contended.
func BenchmarkPickContended(b *testing.B) {
	for _, contended := range []int{0, 150} {
		b.Run(fmt.Sprint("contended=", contended), func(b *testing.B) {
			endpoints := testEndpoints(1000)
			table := newTestTable(endpoints)
			now := clock.Boot(time.Hour)
			for i, endpoint := range endpoints {
				table.RecordContention(endpoint, map[bool]float64{true: 2.5, false: 1}[i*contended%1000 < contended], now)
			}
			prompt := chatPrompt(1, 1)
			b.ReportAllocs()
			for b.Loop() {
				table.Pick(endpoints, Request{Prompt: prompt, Objective: testObjective}, excludeNone, now.Add(time.Millisecond))
			}
		})
	}
}

// BenchmarkPickAfterTrouble chooses while the outcomes of the endpoints differ, although few requests fail
// any more.
func BenchmarkPickAfterTrouble(b *testing.B) {
	endpoints := testEndpoints(1000)
	table := newTestTable(endpoints)
	now := clock.Boot(time.Hour)
	for i, endpoint := range endpoints {
		for range 5 {
			table.RecordOutcome(endpoint.ID, i%10 > 0, now)
		}
	}
	now = now.Add(time.Second)
	prompt := chatPrompt(1, 1)
	b.ReportAllocs()
	for b.Loop() {
		table.Pick(endpoints, Request{Prompt: prompt, Objective: testObjective}, excludeNone, now)
	}
}

// BenchmarkFillReport fills a report of a VM of a large fleet that knows 12,000 endpoints, has sent a request to each
// of them, and to 300 of them recently.
func BenchmarkFillReport(b *testing.B) {
	endpoints, now := testEndpoints(12_000), clock.Boot(time.Hour)
	table := newTestTable(endpoints)
	for i, endpoint := range endpoints {
		at := now.Add(-time.Minute)
		if i%40 == 0 {
			at = now
		}
		table.RecordOutcome(endpoint.ID, false, at)
	}
	b.ReportAllocs()
	for b.Loop() {
		table.FillReport(&gossip.Report{Heartbeats: []gossip.Heartbeat{{}}}, now)
	}
}

// BenchmarkReceive applies a report of a VM with work at sixty endpoints.
func BenchmarkReceive(b *testing.B) {
	endpoints := testEndpoints(60)
	table := newTestTable(endpoints)
	report := gossip.Report{Address: "vm"}
	for _, endpoint := range endpoints {
		report.Work = append(report.Work, gossip.EndpointWork{Endpoint: endpoint.ID, Requests: 2, PrefillTokens: 500})
	}
	b.ReportAllocs()
	for b.Loop() {
		table.ApplyReport(report, clock.Boot(time.Hour))
	}
}

// BenchmarkUpdate applies a snapshot. Choices wait for it, as it holds the lock.
func BenchmarkUpdate(b *testing.B) {
	for _, count := range []int{140, 1000, 3000} {
		b.Run(fmt.Sprint("endpoints=", count), func(b *testing.B) {
			table := newTestTable(testEndpoints(count))
			snapshot := &knowledge.Snapshot{Endpoints: map[string]*traffic.Endpoint{}}
			for _, endpoint := range testEndpoints(count) {
				snapshot.Endpoints[endpoint.ID] = endpoint
			}
			b.ReportAllocs()
			for b.Loop() {
				table.Update(snapshot)
			}
		})
	}
}
