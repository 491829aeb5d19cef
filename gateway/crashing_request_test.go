package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// TestRepeatedRequestWithoutPromptThatCrashesEndpointsIsStopped lets a caller repeat a request of each kind without a
// prompt, at all VMs, that crashes endpoints. Others with the same path prefix go on.
func TestRepeatedRequestWithoutPromptThatCrashesEndpointsIsStopped(t *testing.T) {
	const gateways, endpoints, maxCrashes, maxArrivals, repeats, soundEach = 3, 4, 3, 3, 10, 10
	for _, prefix := range []string{"/deposit/", "/lookup/", "/open/"} {
		t.Run(prefix, func(t *testing.T) {
			f := newCrashFleet(t, gateways, endpoints, "plain", hosted.CrashOnPath(prefix+"deadly"))
			serial := 0
			ask := func(path string) result {
				serial++
				return f.ask(context.Background(), 1+serial%gateways, query{path: prefix + path, body: "the same"})
			}
			for range 3 * maxCrashes {
				if f.crashCount() > 2*maxCrashes {
					break
				}
				ask("deadly")
				time.Sleep(2 * restartTime)
				for i := range soundEach {
					ask(fmt.Sprint(i))
				}
			}
			time.Sleep(time.Second)
			var ids []string
			for i := range repeats {
				ids = append(ids, ask("deadly").id)
				sound := ask(fmt.Sprint(i))
				if sound.status != http.StatusOK || !sound.complete {
					t.Errorf("a sound request ended with status %d, %v", sound.status, sound.err)
				}
			}
			if got := f.arrivals(ids); got > maxArrivals {
				t.Errorf("%d of %d repeats reached endpoints after %d crashes", got, repeats, f.crashCount())
			}
		})
	}
}

// TestFingerprintDiffersByAllThatARequestIs compares the fingerprints of requests that differ in one field.
func TestFingerprintDiffersByAllThatARequestIs(t *testing.T) {
	base := query{method: http.MethodPost, path: "/lookup/a", body: "body"}
	changes := map[string]func(*query){
		"method":    func(q *query) { q.method = http.MethodPut },
		"path":      func(q *query) { q.path = "/lookup/b" },
		"query":     func(q *query) { q.path = "/lookup/a?x=1" },
		"body":      func(q *query) { q.body = "bodY" },
		"no body":   func(q *query) { q.body = "" },
		"workspace": func(q *query) { q.key = "other" },
	}
	f := &testFleet{t: t, network: "127.1"}
	want := fingerprintOf(f, base)
	if again := fingerprintOf(f, base); again != want {
		t.Errorf("a repeat has the fingerprint %x, want %x", again, want)
	}
	for name, change := range changes {
		q := base
		change(&q)
		if fingerprintOf(f, q) == want {
			t.Errorf("%s: the fingerprint is the same", name)
		}
	}
}

// fingerprintOf returns the fingerprint of a request whose key is the name of its workspace.
func fingerprintOf(f *testFleet, q query) uint64 {
	r := f.newRequest(context.Background(), 1, "1", q)
	r.RequestURI = r.URL.RequestURI()
	return (&call{r: r, body: []byte(q.body), grant: grant{workspace: &traffic.Workspace{Name: q.key}}}).fingerprint()
}
