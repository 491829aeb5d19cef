package hosted

import (
	"net/http"
	"slices"
	"strings"
)

// CrashTrigger reports whether an endpoint crashes when it begins to run a request.
type CrashTrigger func(*http.Request) bool

// crash is a crash of an endpoint.
type crash struct {
	trigger CrashTrigger
	run     func()
}

// ArmCrash makes the endpoint crash when it begins to run a request that fires the trigger. run must
// then close its listener and all connections.
func (w *Worker) ArmCrash(trigger CrashTrigger, run func()) {
	w.crash.Store(&crash{trigger, run})
}

// CrashOnPart returns a trigger for prompts with the given part ID.
func CrashOnPart(id string) CrashTrigger {
	return func(r *http.Request) bool {
		parts := strings.Split(r.Header.Get("Cardamompoint-Prompt-Prefix"), ",")
		return slices.ContainsFunc(parts, func(part string) bool { return strings.HasPrefix(part, id+":") })
	}
}

// CrashOnPath returns a trigger for requests with the given path.
func CrashOnPath(path string) CrashTrigger {
	return func(r *http.Request) bool { return r.URL.Path == path }
}
