package gossip

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"reflect"
	"testing"

	"cardamompoint.example/cardamompoint/gateway/traffic"
)

// typicalReport returns a report as a VM of a large fleet under load sends it.
func typicalReport(random *rand.Rand) *Report {
	report := &Report{Address: "10.1.0.7", Incarnation: 1767778491332676111, Sequence: 812, FailureDomain: "domain-a", Capacity: 400, ConfigVersion: 38, Newest: traffic.Position{Era: 1, Revision: 57}}
	for i := range 12 {
		report.Heartbeats = append(report.Heartbeats, Heartbeat{fmt.Sprintf("10.%d.0.%d", i%3, i), 1767778491000000000 + random.Int64N(1e9), random.Int64N(900), "domain-b", 400, i%2 == 0, i%3 == 0})
	}
	for range 30 {
		report.EndpointLoads = append(report.EndpointLoads, EndpointLoad{fmt.Sprintf("i-%010x", random.Int64N(1<<40)), random.IntN(9), random.Int64N(300)})
		report.PartLocations = append(report.PartLocations, PartLocation{random.Uint64N(1 << 48), fmt.Sprintf("i-%010x", random.Int64N(1<<40))})
	}
	for range 8 {
		report.Work = append(report.Work, EndpointWork{fmt.Sprintf("i-%010x", random.Int64N(1<<40)), 1 + random.IntN(4), random.IntN(10_000)})
	}
	for i, load := range report.EndpointLoads[:24] {
		outcomes := EndpointOutcomes{Endpoint: load.Endpoint, Good: random.IntN(20)}
		if i%10 == 0 {
			outcomes.Failed = random.IntN(8)
			outcomes.SlownessPercent = random.IntN(1000)
		}
		report.Outcomes = append(report.Outcomes, outcomes)
	}
	return report
}

// crashReport returns a typical report together with the basis of two quarantines.
func crashReport(random *rand.Rand) *Report {
	report := typicalReport(random)
	for range 10 {
		report.Crashes = append(report.Crashes, Crash{
			Endpoint: fmt.Sprintf("i-%010x", random.Int64N(1<<40)), StartedMS: 1767778491000 + random.Int64N(1e9), Service: "assist",
			Parts: []uint64{random.Uint64(), random.Uint64(), random.Uint64()}, AgeMS: random.Int64N(60_000), SentBeforeMS: random.Int64N(500), AnsweredBeforeMS: random.Int64N(100), BackgroundPermille: random.IntN(1001),
		})
	}
	report.AnsweredParts = []AnsweredPart{{random.Uint64(), random.Int64N(10_000)}}
	report.ServiceCrashes = []ServiceCrashes{{Service: "engines", Crashed: random.IntN(100), Answered: random.IntN(1000)}}
	return report
}

// limitReport returns a typical report together with the limits of 48 endpoints.
func limitReport(random *rand.Rand) *Report {
	report := typicalReport(random)
	for range 48 {
		report.Limits = append(report.Limits, EndpointLimit{
			Endpoint: fmt.Sprintf("i-%010x", random.Int64N(1<<40)), StartedMS: 1767778491000 + random.Int64N(1e9), Service: "assist",
			PerThousandSeconds: random.IntN(10_000), AgeMS: random.Int64N(1000),
		})
	}
	report.Demands = []ServiceDemand{{"assist", random.IntN(1000)}}
	return report
}

// resetReport returns a typical report together with the resets of 16 endpoints.
func resetReport(random *rand.Rand) *Report {
	report := typicalReport(random)
	for range 16 {
		report.IdleResets = append(report.IdleResets, IdleReset{
			Endpoint: fmt.Sprintf("i-%010x", random.Int64N(1<<40)), StartedMS: 1767778491000 + random.Int64N(1e9), Service: "assist",
			IdleMS: 100 + random.Int64N(5000), AgeMS: random.Int64N(5000),
		})
	}
	return report
}

// contentionReport returns a typical report together with the statements of 21 contended hosts.
func contentionReport(random *rand.Rand) *Report {
	report := typicalReport(random)
	for i := range 21 {
		report.Contentions = append(report.Contentions, EndpointContention{
			Endpoint: report.EndpointLoads[i].Endpoint, StartedMS: 1767778491000 + random.Int64N(1e9), Percent: 100 + random.IntN(900), AgeMS: random.Int64N(301),
		})
	}
	return report
}

// TestOtherReportsAreEncodedAsBefore guards against reports without contention that VMs of an earlier version read
// otherwise: the checksum is that of the encoding before the list was added.
func TestOtherReportsAreEncodedAsBefore(t *testing.T) {
	enc, random, sum := newEncoder(), rand.New(rand.NewPCG(6, 6)), fnv.New64a()
	for range 20 {
		for _, report := range []*Report{{Address: "a"}, typicalReport(random), crashReport(random), limitReport(random), resetReport(random)} {
			_, _ = sum.Write(enc.encode(report)) // A hash returns no error.
		}
	}
	if got, want := sum.Sum64(), uint64(0xad483d0e3a0d3db3); got != want {
		t.Errorf("the checksum is %#x, want %#x", got, want)
	}
}

// TestReportsSurviveEncoding encodes and decodes empty and full reports in turn with one
// encoder and one decoder: neither may keep state of an earlier report.
func TestReportsSurviveEncoding(t *testing.T) {
	enc := newEncoder()
	dec := newDecoder()
	random := rand.New(rand.NewPCG(4, 4))
	for range 50 {
		for _, report := range []*Report{{Address: "a"}, typicalReport(random), crashReport(random), limitReport(random), resetReport(random), contentionReport(random)} {
			raw := enc.encode(report)
			if got, err := dec.decode(raw); err != nil || !reflect.DeepEqual(got, *report) {
				t.Fatalf("%+v was decoded as %+v, %v", report, got, err)
			}
		}
	}
}

// TestReportsAreSmall checks that a typical report of a large fleet fits into one Ethernet
// frame.
func TestReportsAreSmall(t *testing.T) {
	const limit = 1400
	enc := newEncoder()
	raw := enc.encode(typicalReport(rand.New(rand.NewPCG(1, 1))))
	if len(raw) > limit {
		t.Errorf("%d bytes, want at most %d", len(raw), limit)
	}
	t.Logf("%d bytes", len(raw))
	t.Logf("%d bytes with 48 limits", len(enc.encode(limitReport(rand.New(rand.NewPCG(1, 1))))))
	t.Logf("%d bytes with 16 resets", len(enc.encode(resetReport(rand.New(rand.NewPCG(1, 1))))))
	t.Logf("%d bytes with 21 contended hosts", len(enc.encode(contentionReport(rand.New(rand.NewPCG(1, 1))))))
	t.Logf("%d bytes with two quarantines", len(enc.encode(crashReport(rand.New(rand.NewPCG(1, 1))))))
}

// FuzzDecode checks that a malformed datagram does not affect the decoding of the next
// one.
func FuzzDecode(f *testing.F) {
	enc := newEncoder()
	raw := enc.encode(typicalReport(rand.New(rand.NewPCG(1, 1))))
	valid := append([]byte(nil), raw...)
	f.Add(valid)
	f.Add(valid[:len(valid)/2])
	f.Add(append([]byte(nil), enc.encode(limitReport(rand.New(rand.NewPCG(1, 2))))...))
	f.Add(append([]byte(nil), enc.encode(crashReport(rand.New(rand.NewPCG(1, 2))))...))
	f.Add(append([]byte(nil), enc.encode(resetReport(rand.New(rand.NewPCG(1, 2))))...))
	f.Add(append([]byte(nil), enc.encode(contentionReport(rand.New(rand.NewPCG(1, 2))))...))
	f.Add([]byte(`{"a":"x"}`))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		dec := newDecoder()
		_, _ = dec.decode(datagram)
		if report, err := dec.decode(valid); err != nil || report.Address != "10.1.0.7" {
			t.Errorf("after %q: %v", datagram, err)
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	enc := newEncoder()
	report := typicalReport(rand.New(rand.NewPCG(1, 1)))
	for b.Loop() {
		enc.encode(report)
	}
}

func BenchmarkDecode(b *testing.B) {
	enc := newEncoder()
	raw := enc.encode(typicalReport(rand.New(rand.NewPCG(1, 1))))
	dec := newDecoder()
	for b.Loop() {
		if _, err := dec.decode(raw); err != nil {
			b.Fatal(err)
		}
	}
}
