package routebench

import (
	"fmt"
	"testing"

	"cardamompoint.example/cardamompoint/rank"
)

// BenchmarkPlace measures one decision and its release at the size of two
// years: 340 routers before one of 12 models, and before one pool of 12,000.
func BenchmarkPlace(b *testing.B) {
	for _, engines := range []int{1000, 12000} {
		fleet := NewFleet(Deployment{Name: "large", Routers: 340, Engines: engines, Multiple: 1.25})
		ways := []Way{&HomeWay{Hints: true}, &HomeWay{Index: true}, &EntryWay{}, &SubsetWay{}, &TwoWay{}, &PlainWay{}}
		for _, way := range ways {
			way.Start(fleet)
			b.Run(fmt.Sprintf("engines=%d/%s", engines, way.Name()), func(b *testing.B) {
				request := &Request{Bound: 256, Answer: 200}
				b.ReportAllocs()
				for b.Loop() {
					request.Key = rank.Key("workspace", fmt.Sprint(request.Chat))
					request.Entry = request.Chat % fleet.deployment.Routers
					way.Release(request, way.Place(request, none))
					request.Chat++
				}
			})
		}
	}
}

// BenchmarkExchange reports the bytes of control traffic of one router in a
// second at the size of two years, for one model.
func BenchmarkExchange(b *testing.B) {
	fleet := NewFleet(Deployment{Name: "large", Routers: 340, Engines: 1000, Multiple: 1.25})
	for _, way := range []Way{&HomeWay{Hints: true}, &EntryWay{}, &SubsetWay{}, &TwoWay{}} {
		way.Start(fleet)
		for i := range 10 * fleet.live {
			request := &Request{Key: rank.Key(fmt.Sprint(i)), Entry: i % fleet.deployment.Routers, Bound: 256}
			if placement := way.Place(request, none); placement.Engine != none {
				fleet.add(placement.Engine, request, 1)
			}
		}
		b.Run(way.Name(), func(b *testing.B) {
			bytes := 0
			for b.Loop() {
				bytes = way.Exchange()
			}
			b.ReportMetric(float64(bytes), "bytes/s")
		})
	}
}
