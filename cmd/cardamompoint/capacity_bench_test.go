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

// ticksPerSecond is the number of clock ticks in a second, the unit of CPU time in /proc.
const ticksPerSecond = 100

// usage is the resource usage of all routers of a fleet.
type usage struct {
	cpu           time.Duration
	residentBytes int64
	controlBytes  int64
}

// usage returns the sums of the CPU time, the resident memory and the control bytes of all
// routers.
func (f *testFleet) usage() usage {
	f.t.Helper()
	var sum usage
	for n := range f.settings {
		pid := strconv.Itoa(f.processes[fmt.Sprintf("router-%d", n+1)].command.Process.Pid)
		raw, err := os.ReadFile(filepath.Join("/proc", pid, "stat"))
		f.must(err)
		fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+2:]))
		for _, field := range fields[11:13] {
			ticks, err := strconv.ParseInt(field, 10, 64)
			f.must(err)
			sum.cpu += time.Duration(ticks) * time.Second / ticksPerSecond
		}
		pages, err := strconv.ParseInt(fields[21], 10, 64)
		f.must(err)
		sum.residentBytes += pages * int64(os.Getpagesize())
		status, err := f.status(n + 1)
		f.must(err)
		sum.controlBytes += status.ControlBytes
	}
	return sum
}

// BenchmarkIdleRouters measures the CPU time, control traffic and memory of a router without
// requests, by the number of routers.
func BenchmarkIdleRouters(b *testing.B) {
	const samplePeriod = 15 * time.Second
	for _, routers := range []int{2, 4, 8} {
		b.Run(strconv.Itoa(routers), func(b *testing.B) {
			f := startFleet(b, fleetConfig{deployment: "gelek", routers: routers})
			for b.Loop() {
				before := f.usage()
				time.Sleep(samplePeriod)
				after := f.usage()
				routerSeconds := float64(routers) * samplePeriod.Seconds()
				b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/routerSeconds/1e4, "%core/router")
				b.ReportMetric(float64(after.controlBytes-before.controlBytes)/routerSeconds, "B/s/router")
				b.ReportMetric(float64(after.residentBytes)/float64(routers)/(1<<20), "MiB/router")
			}
		})
	}
}

// BenchmarkTokens measures the CPU time of the routers for each request, by the length of
// answers.
func BenchmarkTokens(b *testing.B) {
	const chats = 64
	for _, tokens := range []int{1, 64, 256} {
		b.Run(strconv.Itoa(tokens), func(b *testing.B) {
			f := startFleet(b, fleetConfig{deployment: "gelek", engineFlags: []string{"--token-interval=5ms"}})
			before, requests := f.usage(), 0
			for b.Loop() {
				requests += f.askMany(chats, tokens)
			}
			used := f.usage().cpu - before.cpu
			b.ReportMetric(float64(used.Microseconds())/float64(requests), "us/request")
			b.ReportMetric(float64(requests), "requests")
		})
	}
}

// askMany sends concurrent chats and returns the number of complete answers.
func (f *testFleet) askMany(chats, tokens int) int {
	var group sync.WaitGroup
	var mu sync.Mutex
	complete := 0
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
				complete++
			}
		})
	}
	group.Wait()
	return complete
}
