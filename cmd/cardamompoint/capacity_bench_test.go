package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/router/api"
)

// ticksPerSecond is the unit of processor time in /proc.
const ticksPerSecond = 100

// usage is what all routers of a fleet have used.
type usage struct {
	processor time.Duration
	resident  int64
	control   int64
}

// usage sums the processor time, the resident memory and the control bytes of
// all routers.
func (f *testFleet) usage() usage {
	f.t.Helper()
	var sum usage
	for n := range f.settings {
		pid := strconv.Itoa(f.processes[fmt.Sprintf("router-%d", n+1)].Process.Pid)
		raw, err := os.ReadFile(filepath.Join("/proc", pid, "stat"))
		f.must(err)
		fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+2:]))
		for _, field := range fields[11:13] {
			ticks, err := strconv.ParseInt(field, 10, 64)
			f.must(err)
			sum.processor += time.Duration(ticks) * time.Second / ticksPerSecond
		}
		pages, err := strconv.ParseInt(fields[21], 10, 64)
		f.must(err)
		sum.resident += pages * int64(os.Getpagesize())
		status, err := f.status(n + 1)
		f.must(err)
		sum.control += status.ControlBytes
	}
	return sum
}

// BenchmarkIdleRouters measures what a router without requests costs, by the
// number of routers.
func BenchmarkIdleRouters(b *testing.B) {
	const sample = 15 * time.Second
	for _, routers := range []int{2, 4, 8} {
		b.Run(strconv.Itoa(routers), func(b *testing.B) {
			f := startFleet(b, fleetConfig{deployment: "gelek", routers: routers})
			for b.Loop() {
				before := f.usage()
				time.Sleep(sample)
				after := f.usage()
				each := float64(routers) * sample.Seconds()
				b.ReportMetric(float64((after.processor-before.processor).Microseconds())/each/1e4, "%core/router")
				b.ReportMetric(float64(after.control-before.control)/each, "B/s/router")
				b.ReportMetric(float64(after.resident)/float64(routers)/(1<<20), "MiB/router")
			}
		})
	}
}

// BenchmarkTokens measures the routers' processor time for each token and each
// request, by the length of answers.
func BenchmarkTokens(b *testing.B) {
	const chats = 64
	for _, tokens := range []int{1, 64, 256} {
		b.Run(strconv.Itoa(tokens), func(b *testing.B) {
			f := startFleet(b, fleetConfig{deployment: "gelek", engineFlags: []string{"--token-interval=5ms"}})
			before, requests := f.usage(), 0
			for b.Loop() {
				requests += f.askMany(chats, tokens)
			}
			used := f.usage().processor - before.processor
			b.ReportMetric(float64(used.Microseconds())/float64(requests), "us/request")
			b.ReportMetric(float64(requests), "requests")
		})
	}
}

// askMany asks chats at the same time and returns the number of whole answers.
func (f *testFleet) askMany(chats, tokens int) int {
	var group sync.WaitGroup
	var mu sync.Mutex
	whole := 0
	for i := range chats {
		client := f.client(i%len(f.settings) + 1)
		group.Go(func() {
			_, err := client.Ask(context.Background(), api.CompletionRequest{
				Workspace: "head-office",
				Chat:      fmt.Sprint("chat-", i),
				MaxTokens: tokens,
				Messages:  []api.Message{{Role: "user", Content: "a roster"}},
			})
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				whole++
			}
		})
	}
	group.Wait()
	return whole
}
