package soak

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// The bounds that the soak checks, as the settings of the stand-ins tell them.
const (
	soakKeyLease    = 5 * time.Second
	soakRetryWindow = 10 * time.Second
	soakRetryRatio  = 0.2
	soakRetrySlack  = 54
	soakDrain       = 2 * time.Second
	// soakRest is how long resting workers want no requests, soakRestNoticed the time
	// from which their word counts, and soakRestSlack how many requests still may come.
	soakRest        = 3 * time.Second
	soakRestNoticed = 500 * time.Millisecond
	soakRestSlack   = 2
	soakMemoryKB    = 284 << 10
	soakDescriptors = 4100
	// soakEvents is the number of events of each stream.
	soakEvents = 12
	soakBody   = "work"
)

// soakCall is what a caller saw of one request.
type soakCall struct {
	id   string
	path string
	key  string
	// gateway is the VM's number, boot the number of its process.
	gateway int
	boot    int
	sent    time.Time
	ended   time.Time
	// left tells that the caller went away.
	left   bool
	status int
	body   string
	whole  bool
	// leaving is the worker that said in the answer that it leaves, "" if none did.
	leaving string
}

// soakSeen is a request as it reached a worker.
type soakSeen struct {
	service string
	worker  string
	hosted.SeenRequest
}

// soakHistory is all that callers and workers saw. The checks below compare it;
// each returns one text for each violation.
type soakHistory struct {
	calls []soakCall
	seen  []soakSeen
	// revoked is when the store took in that a key is gone.
	revoked map[string]time.Time
	// removed is when the store took in that a path is gone.
	removed map[string]time.Time
	record  *soakRecord
}

// soakChecks are all checks by name.
var soakChecks = map[string]func(*soakHistory) []string{
	"runs":     checkRuns,
	"not run":  checkNotRun,
	"answers":  checkAnswers,
	"keys":     checkKeys,
	"versions": checkVersions,
	"retries":  checkRetries,
	"unasked":  checkUnasked,
	"leaving":  checkLeaving,
	"rest":     checkRest,

	"config in time":    checkConfigInTime,
	"drain in time":     checkDrainInTime,
	"readiness in time": checkReadyInTime,
	"served in time":    checkServedInTime,
}

// runs counts how often each request was run.
func (h *soakHistory) runs() map[string]int {
	runs := map[string]int{}
	for _, seen := range h.seen {
		if seen.Executed {
			runs[seen.ID]++
		}
	}
	return runs
}

// mayRepeat tells which paths may run twice.
func mayRepeat(path string) bool {
	return strings.HasPrefix(path, "/roster/") || strings.HasPrefix(path, "/lookup/") || isVersion(path)
}

// checkRuns: work that may not be repeated runs at most once, other work at most
// as often as its route allows.
func checkRuns(h *soakHistory) (bad []string) {
	const attempts = 2
	runs := h.runs()
	for _, call := range h.calls {
		limit := 1
		if mayRepeat(call.path) {
			limit = attempts
		}
		if runs[call.id] > limit {
			bad = append(bad, fmt.Sprintf("%s %s ran %d times", call.path, call.id, runs[call.id]))
		}
	}
	return bad
}

// checkNotRun: a status that promises that the request was not run is true.
func checkNotRun(h *soakHistory) (bad []string) {
	runs := h.runs()
	for _, call := range h.calls {
		switch call.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if runs[call.id] > 0 {
				bad = append(bad, fmt.Sprintf("%s %s ran and the caller got %d", call.path, call.id, call.status))
			}
		}
	}
	return bad
}

// checkAnswers: what a caller gets is the answer to its own request from the
// beginning, and whole if it ended as whole.
func checkAnswers(h *soakHistory) (bad []string) {
	stream := ""
	for event := 1; event <= soakEvents; event++ {
		stream += fmt.Sprintf("id: %d\ndata: piece %d\n\n", event, event)
	}
	for _, call := range h.calls {
		if call.status != http.StatusOK {
			continue
		}
		want := "answer to " + call.id
		if isStream(call.path) {
			want = stream
		}
		if !strings.HasPrefix(want, call.body) || (call.whole && call.body != want) {
			bad = append(bad, fmt.Sprintf("%s %s: whole %v, %q", call.path, call.id, call.whole, call.body))
		}
	}
	return bad
}

// checkKeys: a key that the store has removed is not accepted after its lease.
func checkKeys(h *soakHistory) (bad []string) {
	for _, call := range h.calls {
		at, revoked := h.revoked[call.key]
		if revoked && call.status == http.StatusOK && call.sent.Sub(at) > soakKeyLease {
			bad = append(bad, fmt.Sprintf("%s %s was served at VM %d %v after its key was revoked", call.path, call.id, call.gateway, call.sent.Sub(at)))
		}
	}
	return bad
}

// checkVersions: a process that has served a path does not say later that the
// path is unknown while the path is published.
func checkVersions(h *soakHistory) (bad []string) {
	type process struct {
		gateway, boot int
		path          string
	}
	served := map[process]time.Time{}
	for _, call := range h.calls {
		at := process{call.gateway, call.boot, call.path}
		first, ok := served[at]
		if call.status == http.StatusOK && (!ok || call.ended.Before(first)) {
			served[at] = call.ended
		}
	}
	for _, call := range h.calls {
		first, ok := served[process{call.gateway, call.boot, call.path}]
		removed, gone := h.removed[call.path]
		published := !gone || call.ended.Before(removed)
		if ok && published && call.status == http.StatusNotFound && call.sent.After(first) {
			bad = append(bad, fmt.Sprintf("%s %s is unknown at VM %d, which had served it", call.path, call.id, call.gateway))
		}
	}
	return bad
}

// checkRetries: the arrivals beyond the first of each request stay within the
// budget of each service in each window.
func checkRetries(h *soakHistory) (bad []string) {
	services := map[string][]soakSeen{}
	for _, seen := range h.seen {
		services[seen.service] = append(services[seen.service], seen)
	}
	for service, arrivals := range services {
		sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].ReceivedAt.Before(arrivals[j].ReceivedAt) })
		known := map[string]bool{}
		var firsts, extras []time.Time
		for _, arrival := range arrivals {
			if known[arrival.ID] {
				extras = append(extras, arrival.ReceivedAt)
			} else {
				firsts = append(firsts, arrival.ReceivedAt)
			}
			known[arrival.ID] = true
			count, allowed := within(extras, arrival.ReceivedAt), soakRetryRatio*float64(within(firsts, arrival.ReceivedAt))+soakRetrySlack
			if float64(count) > allowed {
				bad = append(bad, fmt.Sprintf("%s got %d further arrivals in a window, %.0f are allowed", service, count, allowed))
				break
			}
		}
	}
	return bad
}

// within counts the times in the window that ends at now.
func within(times []time.Time, now time.Time) int {
	from := now.Add(-soakRetryWindow)
	return len(times) - sort.Search(len(times), func(i int) bool { return times[i].After(from) })
}

// checkUnasked: workers see what callers sent, for the caller's workspace.
func checkUnasked(h *soakHistory) (bad []string) {
	calls := map[string]soakCall{}
	for _, call := range h.calls {
		calls[call.id] = call
	}
	for _, seen := range h.seen {
		call, ok := calls[seen.ID]
		if !ok || seen.Target != call.path || seen.Body != soakBody || seen.Workspace != hosted.Workspace {
			bad = append(bad, fmt.Sprintf("a worker saw %q of %s for %q with %q, the caller asked for %q", seen.Target, seen.ID, seen.Workspace, seen.Body, call.path))
		}
	}
	return bad
}

func isStream(path string) bool {
	return strings.HasPrefix(path, "/chat/") || strings.HasPrefix(path, "/roster/")
}

func isVersion(path string) bool {
	return strings.HasPrefix(path, "/version-")
}
