package hosted

import (
	"slices"
	"strings"
)

// partCrash is a crash of an endpoint that begins to answer a prompt with a certain part.
type partCrash struct {
	part string
	run  func()
}

// ArmCrash makes the endpoint crash when it begins to answer a prompt with the given part ID. run must
// then close its listener and all connections.
func (w *Worker) ArmCrash(part string, run func()) {
	w.crash.Store(&partCrash{part, run})
}

// matches reports whether a prompt causes the crash.
func (c *partCrash) matches(prefix string) bool {
	parts := strings.Split(prefix, ",")
	return slices.ContainsFunc(parts, func(part string) bool { return strings.HasPrefix(part, c.part+":") })
}
