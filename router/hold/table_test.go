package hold

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamompoint.example/cardamompoint/router/balance"
)

// TestHomeStreamsEndOnce attaches, detaches, expires and ends readers in random
// order: no stream may be canceled at its engine twice, and none that has a reader.
func TestHomeStreamsEndOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		canceled := map[string]int{}
		h := NewTable(time.Hour, func(key Key) { canceled[key.StreamID]++ })
		readers := map[string]int{}
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "stream")
			s := h.Open(Key{StreamID: id}, (*balance.Reservation)(nil))
			reader := rapid.IntRange(0, readers[id]).Draw(t, "reader")
			switch rapid.SampledFrom([]string{"attach", "leave", "expire", "end"}).Draw(t, "step") {
			case "attach":
				_, readers[id] = h.Attach(t.Context(), s)
			case "leave":
				h.Detach(s, reader)
			case "expire":
				held, before := s.holdTimer != nil && s.readerID == reader, canceled[id]
				h.expire(s, reader)
				if (canceled[id] == before+1) != held {
					t.Fatalf("stream %s held %t is canceled %d times more", id, held, canceled[id]-before)
				}
				if held {
					readers[id] = 0
				}
			case "end":
				h.End(s)
				readers[id] = 0
			}
			for _, left := range h.Held() {
				if left.stopReader != nil {
					t.Fatalf("stream %s is held and read", left.StreamID)
				}
			}
		}
	})
}

// BenchmarkHeldStream reports the memory of a held stream, which does not depend on
// the length of the answer.
func BenchmarkHeldStream(b *testing.B) {
	const streams = 10_000
	for b.Loop() {
		h := NewTable(time.Hour, func(Key) {})
		before := heapBytes()
		for i := range streams {
			s := h.Open(Key{Engine: "10.0.0.1:7200", RequestID: fmt.Sprint(i), StreamID: fmt.Sprint(i, ".1")}, nil)
			_, reader := h.Attach(b.Context(), s)
			h.Detach(s, reader)
		}
		b.ReportMetric(float64(heapBytes()-before)/streams, "bytes/stream")
		for _, s := range h.Held() {
			h.End(s)
		}
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
