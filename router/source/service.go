package source

import (
	"context"
	"time"
)

// Config reads published configuration. Implementations are safe for
// concurrent use. Errors carry code.PlatformSilent or code.PlatformRejected.
type ConfigReader interface {
	// Changes returns what changed after the revision. It waits up to wait for
	// a change; with none, the answer has the same revision and no values. An
	// answer with a lower revision comes from a stale replica.
	Changes(ctx context.Context, after int64, wait time.Duration) (Changes, error)
}

// Lister reads the lagging list of VMs. Implementations are safe for
// concurrent use.
type VMLister interface {
	// List returns what the platform shows newer than version after: the
	// changes, or the whole list if it can't tell them. With nothing newer, the
	// answer has the version after, or a lower one from a stale replica, and no
	// VMs.
	List(ctx context.Context, after int64) (VMList, error)
}
