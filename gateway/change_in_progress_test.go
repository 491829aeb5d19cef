package gateway

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// TestChangeOfConfigurationCutsNoRequestInProgress changes the configuration while requests of each kind are in
// progress and one is still arriving: each caller must get the whole answer, the last one an answer.
func TestChangeOfConfigurationCutsNoRequestInProgress(t *testing.T) {
	for name, change := range map[string]func(*hosted.Configuration){
		"shorter timeout":    shortenTimeouts,
		"shorter idle limit": func(c *hosted.Configuration) { maps.Copy(c.Limits, map[string]any{"idleTimeoutMs": 50}) },
		"shorter head limit": func(c *hosted.Configuration) { maps.Copy(c.Limits, map[string]any{"headerTimeoutMs": 50}) },
		"smaller bodies": func(c *hosted.Configuration) {
			maps.Copy(c.Limits, map[string]any{"maxBodyBytes": 2, "headerBytes": 100})
		},
		"other service":    swapServices,
		"key withdrawn":    replaceKey,
		"routes withdrawn": func(c *hosted.Configuration) { c.Routes = c.Routes[:1] },
		"one execution":    allowOneExecution,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1)
			for _, worker := range f.workers {
				worker.Delay, worker.EventInterval = 700*time.Millisecond, 200*time.Millisecond
			}
			f.publishChanged(2, allowSlowMachine, allowLongGaps, allowSlowAnswers)
			var all sync.WaitGroup
			for _, q := range []query{
				{path: "/chat/1", promptParts: chatPromptParts},
				{path: "/roster/1", promptParts: "d4:100,e5:50"},
				{path: "/deposit/1", body: "work"},
				{path: "/lookup/1", body: "work"},
			} {
				all.Go(func() {
					got := f.ask(context.Background(), 1, q)
					if got.status != http.StatusOK || !got.complete || f.executions(got.id) != 1 || q.promptParts != "" && got.body != fullChatStream {
						t.Errorf("%s: %+v after %d executions", q.path, got, f.executions(got.id))
					}
				})
			}
			body, rest := io.Pipe()
			upload := f.newRequest(context.Background(), 1, "00000000000000f1", query{path: "/deposit/1"})
			upload.Body, upload.ContentLength = body, 8
			all.Go(func() { f.checkAnswered(upload) })
			io.WriteString(rest, "four")
			f.eventually("all are in progress", func() bool { return f.gateways[0].active.Load() == 5 && f.allExecutions() == 4 })
			f.publishChanged(3, allowSlowMachine, allowLongGaps, allowSlowAnswers, change)
			io.WriteString(rest, "more")
			all.Wait()
		})
	}
}

// allExecutions returns how often all requests of ask together were executed.
func (f *testFleet) allExecutions() int {
	total := 0
	for number := range f.requests.Load() {
		total += f.executions(fmt.Sprintf("%016x", number+1))
	}
	return total
}

// checkAnswered checks that a request is answered or refused.
func (f *testFleet) checkAnswered(request *http.Request) {
	f.t.Helper()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Errorf("no answer: %v", err)
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil || len(text) == 0 {
		f.t.Errorf("%s with the body %q, %v", response.Status, text, err)
	}
}

// allowSlowAnswers lets endpoints take a second until they answer.
func allowSlowAnswers(c *hosted.Configuration) {
	for i := range c.Routes {
		c.Routes[i].LatencyGoalMS = 2000
	}
}

// shortenTimeouts sets timeouts that requests in progress have used up.
func shortenTimeouts(c *hosted.Configuration) {
	for i := range c.Routes {
		c.Routes[i].TimeoutMS = 100
	}
}

// swapServices moves all routes to services that know nothing of their requests.
func swapServices(c *hosted.Configuration) {
	for i := range c.Routes {
		c.Routes[i].Service = strings.NewReplacer("engines", "plain", "plain", "engines").Replace(c.Routes[i].Service)
	}
}
