package source

import (
	"context"
	"time"
)

// ConfigReader reads the published configuration. Implementations are safe for
// concurrent use. Errors carry code.PlatformSilent or code.PlatformRejected.
type ConfigReader interface {
	// Changes returns what changed after a revision. It blocks for at most wait
	// until there is a change; without one, the answer has the same revision and no
	// values. An answer with a lower revision comes from a stale replica.
	Changes(ctx context.Context, after int64, wait time.Duration) (Changes, error)
}

// VMLister reads the published list of VMs, which lags behind the VMs' actual
// state. Implementations are safe for concurrent use.
type VMLister interface {
	// List returns the changes since the version given as after, or the full list
	// if the platform no longer has the changes. Without anything newer, the answer
	// has no VMs, and its version is equal to after, or lower if it comes from a
	// stale replica.
	List(ctx context.Context, after int64) (VMList, error)
}
