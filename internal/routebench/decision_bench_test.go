package routebench

import (
	"fmt"
	"testing"

	"cardamompoint.example/cardamompoint/rank"
)

// BenchmarkPlace measures one decision and its release with 340 routers, for the
// 1,000 engines of one of 12 models and for a single pool of 12,000 engines. This
// is the fleet size planned for in two years.
func BenchmarkPlace(b *testing.B) {
	for _, engines := range []int{1000, 12000} {
		fleet := NewFleet(Deployment{Name: "large", Routers: 340, Engines: engines, LoadMultiple: 1.25})
		strategies := []Strategy{&HomeStrategy{Hints: true}, &HomeStrategy{Index: true}, &EntryStrategy{}, &SubsetStrategy{}, &TwoChoicesStrategy{}, &PlainStrategy{}}
		for _, strategy := range strategies {
			strategy.Start(fleet)
			b.Run(fmt.Sprintf("engines=%d/%s", engines, strategy.Name()), func(b *testing.B) {
				request := &Request{MaxAnswerTokens: 256, AnswerTokens: 200}
				b.ReportAllocs()
				for b.Loop() {
					request.Key = rank.Key("workspace", fmt.Sprint(request.Chat))
					request.Entry = request.Chat % fleet.deployment.Routers
					strategy.Release(request, strategy.Place(request, noEngine))
					request.Chat++
				}
			})
		}
	}
}

// BenchmarkExchange reports the control traffic of one router for one model, in
// bytes per second, at the fleet size planned for in two years.
func BenchmarkExchange(b *testing.B) {
	fleet := NewFleet(Deployment{Name: "large", Routers: 340, Engines: 1000, LoadMultiple: 1.25})
	for _, strategy := range []Strategy{&HomeStrategy{Hints: true}, &EntryStrategy{}, &SubsetStrategy{}, &TwoChoicesStrategy{}} {
		strategy.Start(fleet)
		for i := range 10 * fleet.live {
			request := &Request{Key: rank.Key(fmt.Sprint(i)), Entry: i % fleet.deployment.Routers, MaxAnswerTokens: 256}
			if placement := strategy.Place(request, noEngine); placement.Engine != noEngine {
				fleet.add(placement.Engine, request, 1)
			}
		}
		b.Run(strategy.Name(), func(b *testing.B) {
			bytes := 0
			for b.Loop() {
				bytes = strategy.Exchange()
			}
			b.ReportMetric(float64(bytes), "bytes/s")
		})
	}
}
