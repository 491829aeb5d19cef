package router

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/internal/standin"
	"cardamompoint.example/cardamompoint/router/api"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/router/source"
)

const (
	crashEngines     = 12
	crashRestartTime = time.Second
	// crashWord is the part of a prompt on which each engine crashes.
	crashWord = "deadly"
)

// crashFleet is a router and engines that crash on some prompts, on an in-memory network.
type crashFleet struct {
	*streamPair

	mu      sync.Mutex
	crashes int
	// crashLimit is the number of crashes after which engines answer every prompt.
	crashLimit int
	ended      bool
	stop       map[string]func()
}

// runCrashFleet runs test with a crashFleet in virtual time.
func runCrashFleet(t *testing.T, test func(*crashFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &crashFleet{streamPair: &streamPair{t: t, net: standin.NewPipeNet()}, stop: map[string]func(){}, crashLimit: 1000}
		f.entry = f.router("10.9.0.1:7001")
		f.introduceEngines()
		f.stops = append(f.stops, f.net.Serve(pairCallers, f.entry.callersMux()))
		f.caller = &http.Client{Transport: f.transport()}
		ctx, cancel := context.WithCancel(t.Context())
		f.awaitHome(ctx)
		test(f)
		cancel()
		f.close()
	})
}

// introduceEngines starts the engines and gives the router the list and one workspace.
func (f *crashFleet) introduceEngines() {
	vms := []source.VM{{Address: f.entry.members.Self().Address, Role: source.RoleRouter, State: source.StateLive}}
	for i := range crashEngines {
		address := fmt.Sprintf("10.9.1.%d:7200", i+1)
		vms = append(vms, source.VM{Address: address, Role: source.RoleEngine, Group: "g", State: source.StateLive})
		f.startEngine(address)
	}
	f.entry.members.SetList(source.VMList{Version: 1, VMs: vms}, time.Now())
	f.entry.store.Apply([]source.Document{
		{Key: "models/m", Version: 1, Data: json.RawMessage(`{"group": "g", "version": "1"}`)},
		{Key: "workspaces/w/template", Version: 2, Data: json.RawMessage(`{"completion": {"models": [{"model": "m"}], "max_tokens": 4000}}`)},
	}, 2)
}

// awaitHome waits until the router admits work to the engines.
func (f *crashFleet) awaitHome(ctx context.Context) {
	go f.entry.freezeDetector.run(ctx)
	for engine := range f.stop {
		f.entry.assignment(engine, time.Now())
	}
	time.Sleep(2 * milliseconds(pairSuspectMS))
	go f.entry.pollLoads(ctx)
	go f.entry.renewLeases(ctx)
	time.Sleep(time.Second)
}

// startEngine starts an engine, unless the test has ended.
func (f *crashFleet) startEngine(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return
	}
	handler := newPairEngine().Handler()
	f.stop[address] = f.net.Serve(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/generate" {
			handler.ServeHTTP(w, r)
			return
		}
		var work endpoint.Work
		if err := jsonhttp.Read(w, r, 1<<20, &work); err != nil || strings.Contains(work.Prompt, crashWord) && f.crash(address) {
			return
		}
		copied, _ := jsonhttp.NewPost(r.Context(), r.URL.Path, work)
		handler.ServeHTTP(w, copied)
	}))
}

// crash ends an engine and starts it again later, unless the limit is reached. It reports
// whether the engine has ended.
func (f *crashFleet) crash(address string) bool {
	f.mu.Lock()
	if f.crashes >= f.crashLimit {
		f.mu.Unlock()
		return false
	}
	stop := f.stop[address]
	f.crashes++
	f.mu.Unlock()
	stop()
	time.AfterFunc(crashRestartTime, func() { f.startEngine(address) })
	return true
}

// crashCount returns the number of crashes so far.
func (f *crashFleet) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes
}

// close ends everything that the fleet has started.
func (f *crashFleet) close() {
	f.mu.Lock()
	f.ended = true
	for _, stop := range f.stop {
		f.stops = append(f.stops, stop)
	}
	f.mu.Unlock()
	for _, transport := range f.transports {
		transport.CloseIdleConnections()
	}
	for _, stop := range f.stops {
		stop()
	}
	time.Sleep(time.Hour)
}

// askWhole sends a chat and returns the status and the body of the answer.
func (f *crashFleet) askWhole(chat, prompt string) (int, string) {
	f.t.Helper()
	request, err := jsonhttp.NewPost(f.t.Context(), "http://"+pairCallers+"/v1/chat/completions", api.CompletionRequest{
		Workspace: "w", Chat: chat, MaxTokens: 3, Messages: []api.Message{{Role: "user", Content: prompt}},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	response, err := f.caller.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	var body strings.Builder
	if err := response.Write(&body); err != nil {
		f.t.Fatal(err)
	}
	return response.StatusCode, body.String()
}

// TestChatDoesNotCrashEngineAfterEngine guards against a crash that counts as a refusal, so that one chat is sent to every engine of the fleet.
func TestChatDoesNotCrashEngineAfterEngine(t *testing.T) {
	runCrashFleet(t, func(f *crashFleet) {
		if status, body := f.askWhole("sound", "hello"); status != http.StatusOK {
			t.Errorf("a sound chat got %d: %s", status, body)
		}
		status, body := f.askWhole("c", crashWord)
		if crashes := f.crashCount(); crashes == 0 || crashes > maxFailedEngines {
			t.Errorf("one chat crashed %d of %d engines and got %d: %s", crashes, crashEngines, status, body)
		}
	})
}
