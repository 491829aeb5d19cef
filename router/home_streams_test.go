package router

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
		h := newHomeStreams(time.Hour, func(key streamKey) { canceled[key.StreamID]++ })
		readers := map[string]int{}
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "stream")
			s := h.open(streamKey{StreamID: id}, (*balance.Reservation)(nil))
			reader := rapid.IntRange(0, readers[id]).Draw(t, "reader")
			switch rapid.SampledFrom([]string{"attach", "leave", "expire", "end"}).Draw(t, "step") {
			case "attach":
				_, readers[id] = h.attach(t.Context(), s)
			case "leave":
				h.detach(s, reader)
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
				h.end(s)
				readers[id] = 0
			}
			for _, left := range h.heldStreams() {
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
		h := newHomeStreams(time.Hour, func(streamKey) {})
		before := heapBytes()
		for i := range streams {
			s := h.open(streamKey{Engine: "10.0.0.1:7200", RequestID: fmt.Sprint(i), StreamID: fmt.Sprint(i, ".1")}, nil)
			_, reader := h.attach(b.Context(), s)
			h.detach(s, reader)
		}
		b.ReportMetric(float64(heapBytes()-before)/streams, "bytes/stream")
		for _, s := range h.heldStreams() {
			h.end(s)
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
