package soak

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"cardamompoint.example/cardamompoint/internal/httpstatus"
	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// The limits that the soak checks, as in the settings that package hosted writes.
const (
	keyLease    = 5 * time.Second
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retrySlack  = 54
	drainTime   = 2 * time.Second
	// retryAfter is the Retry-After of workers, retryAfterGrace the time after which a VM
	// must have applied it, retryAfterSlack the number of requests that still may arrive.
	retryAfter      = 3 * time.Second
	retryAfterGrace = 500 * time.Millisecond
	retryAfterSlack = 2
	maxMemoryKB     = 284 << 10
	maxDescriptors  = 4100
	// streamEvents is the number of events of each stream.
	streamEvents = 12
	requestBody  = "work"
)

// callRecord is what a caller saw of one request.
type callRecord struct {
	id   string
	path string
	key  string
	// promptPart is the ID of the second part of the prompt, "" for one that follows from id.
	promptPart string
	// gateway is the index of the VM; boot is the number of its process, starting at 1, and
	// negative if the process was restarted during the call.
	gateway int
	boot    int
	sent    time.Time
	ended   time.Time
	// canceled reports whether the caller canceled the request.
	canceled bool
	status   int
	body     string
	// complete reports whether the body was read to its end without an error.
	complete bool
	// leaving is the worker that announced in the answer that it leaves, "" if none did.
	leaving string
}

// workerRequest is a request as a worker received it.
type workerRequest struct {
	service string
	worker  string
	hosted.SeenRequest
}

// callHistory is all that callers and workers saw. Each check of it returns a description of
// each violation.
type callHistory struct {
	calls []callRecord
	seen  []workerRequest
	// revoked is when the removal of a key was published.
	revoked map[string]time.Time
	// removed is when the removal of a path was published.
	removed map[string]time.Time
	// limits are the periods in which workers named a limit.
	limits []limitPeriod
	// evacuations are the periods in which failure domains were evacuated.
	evacuations []evacuationPeriod
	record      *faultRecord
}

// historyChecks are all checks by name.
var historyChecks = map[string]func(*callHistory) []string{
	"runs":     checkRuns,
	"not run":  checkNotRun,
	"answers":  checkAnswers,
	"keys":     checkKeys,
	"versions": checkVersions,
	"retries":  checkRetries,
	"unasked":  checkUnasked,
	"leaving":  checkLeaving,
	"backoff":  checkRetryAfter,
	"limits":   checkLimits,

	"config in time":    checkConfigInTime,
	"rewritten in time": checkRewrittenInTime,
	"drain in time":     checkDrainInTime,
	"evacuated in time": checkEvacuatedInTime,
	"readiness in time": checkReadyInTime,
	"served in time":    checkServedInTime,
}

// runs returns how often each request was executed, by ID.
func (h *callHistory) runs() map[string]int {
	runs := map[string]int{}
	for _, seen := range h.seen {
		if seen.Executed {
			runs[seen.ID]++
		}
	}
	return runs
}

// isRepeatable reports whether requests for a path may be executed twice.
func isRepeatable(path string) bool {
	return strings.HasPrefix(path, "/roster/") || strings.HasPrefix(path, "/lookup/") || isVersionPath(path)
}

// checkRuns checks that requests that must not be repeated are executed at most once, and
// others at most as often as their route allows.
func checkRuns(h *callHistory) (violations []string) {
	const attempts = 2
	runs := h.runs()
	for _, call := range h.calls {
		limit := 1
		if isRepeatable(call.path) {
			limit = attempts
		}
		if runs[call.id] > limit {
			violations = append(violations, fmt.Sprintf("%s %s ran %d times", call.path, call.id, runs[call.id]))
		}
	}
	return violations
}

// checkNotRun checks that no request was executed whose status says that it was not.
func checkNotRun(h *callHistory) (violations []string) {
	runs := h.runs()
	for _, call := range h.calls {
		switch call.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if runs[call.id] > 0 {
				violations = append(violations, fmt.Sprintf("%s %s ran and the caller got %d", call.path, call.id, call.status))
			}
		}
	}
	return violations
}

// checkAnswers checks that each caller receives a prefix of the answer to its own request, and
// all of it if the response ended without an error, and that no status is invalid.
func checkAnswers(h *callHistory) (violations []string) {
	stream := ""
	for event := 1; event <= streamEvents; event++ {
		stream += fmt.Sprintf("id: %d\ndata: piece %d\n\n", event, event)
	}
	for _, call := range h.calls {
		if call.status > 0 && !httpstatus.IsValid(call.status) {
			violations = append(violations, fmt.Sprintf("%s %s: status %d", call.path, call.id, call.status))
		}
		if call.status != http.StatusOK {
			continue
		}
		want := "answer to " + call.id
		if isStream(call.path) {
			want = stream
		}
		if !strings.HasPrefix(want, call.body) || (call.complete && call.body != want) {
			violations = append(violations, fmt.Sprintf("%s %s: complete %v, %q", call.path, call.id, call.complete, call.body))
		}
	}
	return violations
}

// checkKeys checks that a revoked key is rejected after keyLease.
func checkKeys(h *callHistory) (violations []string) {
	for _, call := range h.calls {
		at, revoked := h.revoked[call.key]
		if revoked && call.status == http.StatusOK && call.sent.Sub(at) > keyLease {
			violations = append(violations, fmt.Sprintf("%s %s was served at VM %d %v after its key was revoked", call.path, call.id, call.gateway, call.sent.Sub(at)))
		}
	}
	return violations
}

// checkVersions checks that a process never goes back to an older version: a path that it has
// served must not be unknown to it later while the path is published.
func checkVersions(h *callHistory) (violations []string) {
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
		removed, isRemoved := h.removed[call.path]
		published := !isRemoved || call.ended.Before(removed)
		if ok && published && call.status == http.StatusNotFound && call.sent.After(first) {
			violations = append(violations, fmt.Sprintf("%s %s is unknown at VM %d, which had served it", call.path, call.id, call.gateway))
		}
	}
	return violations
}

// checkRetries checks that in each window the repeat arrivals at the workers of a service stay
// within the retry budget.
func checkRetries(h *callHistory) (violations []string) {
	services := map[string][]workerRequest{}
	for _, seen := range h.seen {
		services[seen.service] = append(services[seen.service], seen)
	}
	for service, arrivals := range services {
		sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].ReceivedAt.Before(arrivals[j].ReceivedAt) })
		known := map[string]bool{}
		var firstArrivals, repeatArrivals []time.Time
		for _, arrival := range arrivals {
			if known[arrival.ID] {
				repeatArrivals = append(repeatArrivals, arrival.ReceivedAt)
			} else {
				firstArrivals = append(firstArrivals, arrival.ReceivedAt)
			}
			known[arrival.ID] = true
			count, requests := countInWindow(repeatArrivals, arrival.ReceivedAt), mostInWindow(firstArrivals, arrival.ReceivedAt)
			if allowed := retryRatio*float64(requests) + retrySlack; float64(count) > allowed {
				violations = append(violations, fmt.Sprintf("%s received %d repeat arrivals in a window, %.0f are allowed for %d requests", service, count, allowed, requests))
				break
			}
		}
	}
	return violations
}

// mostInWindow returns the largest number of the sorted times in the retryWindow that ends at now, the one
// before it and the one half a window before it.
func mostInWindow(times []time.Time, now time.Time) int {
	return max(countInWindow(times, now), countInWindow(times, now.Add(-retryWindow/2)), countInWindow(times, now.Add(-retryWindow)))
}

// countInWindow returns how many of the sorted times are in the retryWindow that ends at now.
func countInWindow(times []time.Time, now time.Time) int {
	from := now.Add(-retryWindow)
	until := sort.Search(len(times), func(i int) bool { return times[i].After(now) })
	return until - sort.Search(until, func(i int) bool { return times[i].After(from) })
}

// checkUnasked checks that workers receive exactly what callers sent, with the caller's
// workspace.
func checkUnasked(h *callHistory) (violations []string) {
	calls := map[string]callRecord{}
	for _, call := range h.calls {
		calls[call.id] = call
	}
	for _, seen := range h.seen {
		call, ok := calls[seen.ID]
		if !ok || seen.Target != call.path || seen.Body != requestBody || seen.Workspace != hosted.Workspace {
			violations = append(violations, fmt.Sprintf("a worker saw %q of %s for %q with %q, the caller asked for %q", seen.Target, seen.ID, seen.Workspace, seen.Body, call.path))
		}
	}
	return violations
}

func isStream(path string) bool {
	return strings.HasPrefix(path, "/chat/") || strings.HasPrefix(path, "/roster/")
}

func isVersionPath(path string) bool {
	return strings.HasPrefix(path, "/version-")
}
