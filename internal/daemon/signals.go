package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Signals returns a context that ends at the first SIGTERM or SIGINT and one that ends at the
// second. stop releases the signal handler and ends both contexts.
func Signals(parent context.Context) (first, second context.Context, stop func()) {
	first, cancelFirst := context.WithCancel(parent)
	second, cancelSecond := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for _, cancel := range []context.CancelFunc{cancelFirst, cancelSecond} {
			select {
			case <-signals:
				cancel()
			case <-second.Done():
				return
			}
		}
	}()
	return first, second, func() {
		signal.Stop(signals)
		cancelFirst()
		cancelSecond()
	}
}
