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

	"cardamompoint.example/cardamompoint/code"
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

// crashCallers are the addresses of the two routers for callers.
var crashCallers = [2]string{"10.9.0.8:7000", "10.9.0.9:7000"}

// crashFleet is two routers, each the home of some engines, and engines that crash on some
// prompts, on an in-memory network.
type crashFleet struct {
	*streamPair
	// asked counts the requests, which go to the two routers in turn.
	asked int

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
		f.entry, f.home = f.router("10.9.0.1:7001"), f.router("10.9.0.2:7001")
		f.introduceEngines()
		for i, r := range []*Router{f.entry, f.home} {
			f.stops = append(f.stops, f.net.Serve(crashCallers[i], r.callersMux()), f.net.Serve(r.members.Self().Address, r.peersMux()))
		}
		f.caller = &http.Client{Transport: f.transport()}
		ctx, cancel := context.WithCancel(t.Context())
		f.awaitHomes(ctx)
		test(f)
		cancel()
		f.close()
	})
}

// introduceEngines starts the engines and gives the routers the list and one workspace.
func (f *crashFleet) introduceEngines() {
	var vms []source.VM
	for _, r := range []*Router{f.entry, f.home} {
		vms = append(vms, source.VM{Address: r.members.Self().Address, Role: source.RoleRouter, State: source.StateLive})
	}
	for i := range crashEngines {
		address := fmt.Sprintf("10.9.1.%d:7200", i+1)
		vms = append(vms, source.VM{Address: address, Role: source.RoleEngine, Group: "g", State: source.StateLive})
		f.startEngine(address)
	}
	for _, r := range []*Router{f.entry, f.home} {
		r.members.SetList(source.VMList{Version: 1, VMs: vms}, time.Now())
		r.store.Apply([]source.Document{
			{Key: "models/m", Version: 1, Data: json.RawMessage(`{"group": "g", "version": "1"}`)},
			{Key: "workspaces/w/template", Version: 2, Data: json.RawMessage(`{"completion": {"models": [{"model": "m"}], "max_tokens": 4000}}`)},
		}, 2)
	}
	f.exchangeHeartbeats()
}

// awaitHomes waits until the routers admit work to the engines.
func (f *crashFleet) awaitHomes(ctx context.Context) {
	routers := []*Router{f.entry, f.home}
	for _, r := range routers {
		go r.freezeDetector.run(ctx)
		for engine := range f.stop {
			r.assignment(engine, time.Now())
		}
	}
	time.Sleep(2 * milliseconds(pairSuspectMS))
	f.exchangeHeartbeats()
	for _, r := range routers {
		go r.pollLoads(ctx)
		go r.renewLeases(ctx)
	}
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

// setCrashLimit sets the number of crashes after which engines answer every prompt.
func (f *crashFleet) setCrashLimit(limit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashLimit = limit
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
	f.asked++
	request, err := jsonhttp.NewPost(f.t.Context(), "http://"+crashCallers[f.asked%len(crashCallers)]+"/v1/chat/completions", api.CompletionRequest{
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

// TestChatThatCrashesEnginesIsRefused guards against chats that crash further engines each time their callers ask again, at any entry.
func TestChatThatCrashesEnginesIsRefused(t *testing.T) {
	runCrashFleet(t, func(f *crashFleet) {
		chats := []string{"c", "d", "e", "f"}
		for range 5 {
			for _, chat := range chats {
				if status, body := f.askWhole(chat, crashWord); status != http.StatusServiceUnavailable {
					t.Errorf("a deadly chat got %d: %s", status, body)
				}
				time.Sleep(2 * crashRestartTime)
			}
			f.asked++ // Each chat comes at the other router next.
		}
		if crashes, limit := f.crashCount(), maxCrashedEngines*len(chats); crashes != limit {
			t.Errorf("%d chats crashed %d engines, want %d", len(chats), crashes, limit)
		}
		if status, body := f.askWhole("sound", "hello"); status != http.StatusOK {
			t.Errorf("a sound chat got %d: %s", status, body)
		}
		if status, body := f.askWhole("c", crashWord); !strings.Contains(body, `"code":311`) {
			t.Errorf("the deadly chat got %d: %s", status, body)
		}
	})
}

// TestChatIsServedAfterTheCrashOfItsEngine guards against a sound chat that is refused since engines ended while it waited.
func TestChatIsServedAfterTheCrashOfItsEngine(t *testing.T) {
	runCrashFleet(t, func(f *crashFleet) {
		f.setCrashLimit(maxCrashedEngines - 1)
		for range 3 {
			if status, body := f.askWhole("c", crashWord); status != http.StatusOK {
				t.Errorf("the chat got %d: %s", status, body)
			}
			time.Sleep(2 * crashRestartTime)
		}
		f.setCrashLimit(2 * maxCrashedEngines)
		f.askWhole("other", crashWord)
		time.Sleep(crashTerm + time.Minute)
		f.setCrashLimit(0)
		if status, body := f.askWhole("other", crashWord); status != http.StatusOK {
			t.Errorf("the chat got %d after the term: %s", status, body)
		}
	})
}

// TestCrashesOfTheOnlyEngineRefuseTheChatInTheEnd guards against a chat that is refused after one crash, or never, where there is one engine.
func TestCrashesOfTheOnlyEngineRefuseTheChatInTheEnd(t *testing.T) {
	chats, now := newCrashedChats(), time.Now()
	key := crashedChat{engine: pairEngine, chat: 1}
	for crash := range maxCrashedEngines {
		if err := chats.check(key, true, now); err != nil {
			t.Errorf("refused after %d crashes: %v", crash, err)
		}
		if err := chats.check(key, false, now); (err != nil) != (crash > 0) {
			t.Errorf("asked before others after %d crashes: %v", crash, err)
		}
		chats.record(key, now)
	}
	if chats.check(key, true, now) == nil {
		t.Error("not refused")
	}
	for chat := range uint64(3 * maxCrashedChats) {
		chats.record(crashedChat{engine: pairEngine, chat: chat + 2}, now)
	}
	if kept := len(chats.current) + len(chats.previous); kept > 2*maxCrashedChats {
		t.Errorf("%d entries are kept", kept)
	}
}

// TestOneCrashDoesNotCondemnTheChat guards against a chat that is refused as crashing after one crash of the only engine.
func TestOneCrashDoesNotCondemnTheChat(t *testing.T) {
	crash := crashingPrompt("crashed").WithRun(code.RunPartial)
	j := &job{crashedEngines: map[string]bool{pairEngine: true}, failedEngines: map[string]bool{pairEngine: true}}
	if got := code.Of(j.finalError(t.Context(), crash)); got.Code != code.RetryBudget || got.RetryAfterMS != busyRetryAfter.Milliseconds() {
		t.Errorf("got %v", got)
	}
	j = &job{crashedEngines: map[string]bool{pairEngine: true}}
	if got := code.Of(j.finalError(t.Context(), crashingPrompt("refused"))); got.Code != code.CrashingPrompt || got.Run != code.RunNo {
		t.Errorf("refused by all that are left: got %v", got)
	}
}
