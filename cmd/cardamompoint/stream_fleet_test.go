package main

import (
	"context"
	"fmt"
	"testing"

	"cardamompoint.example/cardamompoint/internal/caller"
	"cardamompoint.example/cardamompoint/router/api"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/settings"
	"cardamompoint.example/cardamompoint/router/source"
)

// startStreamFleet starts four routers and four engines with short timeouts.
func startStreamFleet(t *testing.T, adjust func(*fleetConfig)) *testFleet {
	config := fleetConfig{
		deployment:  "gelek",
		routers:     4,
		engines:     4,
		workers:     1,
		engineFlags: []string{"--token-interval=20ms", "--keep-alive=200ms"},
		adjust: func(s *settings.Router) {
			s.Timing.ProgressMS = 1000
			s.Timing.ResumeMS = 3000
			s.Timing.LingerMS = 300
		},
	}
	if adjust != nil {
		adjust(&config)
	}
	return startFleet(t, config)
}

func (f *testFleet) newLoad(chats, tokens int, entries, fallbacks []int) *streamLoad {
	return &streamLoad{fleet: f, chats: chats, tokens: tokens, entries: entries, fallbacks: fallbacks}
}

var allRouters = []int{1, 2, 3, 4}

// busiestEngine returns the name of the engine process with the most streams.
func (f *testFleet) busiestEngine() string {
	f.t.Helper()
	best, most := 1, -1
	for n := 1; n <= f.count(source.RoleEngine); n++ {
		var load endpoint.Load
		f.get(f.engineAddress(n), "/v1/load", &load)
		if load.Requests > most {
			best, most = n, load.Requests
		}
	}
	return fmt.Sprintf("engine-%d", best)
}

// busiestHome returns the name of the router that is the home of the most engines, and the
// numbers of the others.
func (f *testFleet) busiestHome() (home string, others []int) {
	f.t.Helper()
	best, most := 0, 0
	for n := range f.settings {
		status, err := f.status(n + 1)
		f.must(err)
		if len(status.Engines) > most {
			best, most = n+1, len(status.Engines)
		}
	}
	for n := range f.settings {
		if n+1 != best {
			others = append(others, n+1)
		}
	}
	return fmt.Sprintf("router-%d", best), others
}

// engineOfHome returns the name of an engine process whose home is the given router.
func (f *testFleet) engineOfHome(home string) string {
	f.t.Helper()
	var n int
	_, err := fmt.Sscanf(home, "router-%d", &n)
	f.must(err)
	status, err := f.status(n)
	f.must(err)
	for engine := 1; engine <= f.count(source.RoleEngine); engine++ {
		if f.engineAddress(engine) == status.Engines[0].Engine {
			return fmt.Sprintf("engine-%d", engine)
		}
	}
	f.t.Fatalf("%s is no engine", status.Engines[0].Engine)
	return ""
}

// startStreams starts chats at all routers and returns their stream IDs once all have
// delivered tokens.
func (f *testFleet) startStreams(ctx context.Context, chats, tokens int) []string {
	f.t.Helper()
	started := make(chan string, chats)
	for i := range chats {
		completion := api.CompletionRequest{
			Workspace: "head-office",
			Chat:      string(rune('a' + i)),
			MaxTokens: tokens,
			Messages:  []api.Message{{Role: "user", Content: "a roster"}},
		}
		answer := &caller.Answer{}
		answer.OnToken = func() {
			if len(answer.Tokens) == startedTokens {
				started <- answer.Stream
			}
		}
		go f.client(i%len(f.settings)+1).Continue(ctx, completion, answer)
	}
	streams := make([]string, chats)
	for i := range streams {
		streams[i] = <-started
	}
	return streams
}

// listLeaving publishes the VM with the given address as leaving.
func (f *testFleet) listLeaving(address string) {
	f.t.Helper()
	f.must(f.put("/operator/v1/vms/"+address+"/"+string(source.StateLeaving), "", nil))
}
