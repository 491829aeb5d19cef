package stand

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// recovery is recoveryS, and downTime how long the processes stay away after the final fault.
	recovery = 12 * time.Second
	downTime = time.Second
	// judgedTime is for how long requests are judged, and judgedPause the pause between two of them.
	judgedTime  = 6 * time.Second
	judgedPause = 100 * time.Millisecond
)

// recoverBesideCuts kills all gateways and starts them again, at a store that from then on cuts the watches
// that have waited for a while: a quarter of the requests must be served after recoveryS.
func recoverBesideCuts(b *bench) (broken bool, err error) {
	lookup := route("r-lookup", "/lookup/", "idempotent", "lane-book", 2500, 150, 2)
	b.publish(7, []map[string]any{lookup}, plain("lane-book"))
	for range 3 {
		if err := b.addWorker(&worker{service: "lane-book", work: answer(5 * time.Millisecond)}); err != nil {
			return false, err
		}
	}
	b.addGateways(3)
	if err := b.startAll(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	sentBefore, servedBefore := b.countServed(judgedTime / 2)
	b.record.summary("before the final fault %d of %d requests were served", servedBefore, sentBefore)
	for _, g := range b.gateways {
		b.kill(g)
	}
	if b.trouble {
		b.record.line("from now on the store cuts each watch that has waited for %v", cutAfter)
		b.store.cutWatches(cutAfter)
	}
	time.Sleep(downTime)
	for _, g := range b.gateways {
		if err := b.start(g, false); err != nil {
			return false, fmt.Errorf("%w: %w", errCantRun, err)
		}
	}
	time.Sleep(recovery)
	b.record.line("recoveryS has passed since the machines are back")
	sent, served := b.countServed(judgedTime)
	b.record.summary("later than recoveryS after it %d of %d requests were served", served, sent)
	answered, cuts := b.store.counts()
	b.record.summary("the store answered %d calls, refused none and cut %d watches", answered, cuts)
	return 4*servedBefore >= sentBefore && 4*served < sent, nil
}

// countServed sends requests to all gateways in turn for a time and counts those that were served.
func (b *bench) countServed(length time.Duration) (sent, served int) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(judgedPause) {
		got := b.send(b.gateways[sent%len(b.gateways)], request{method: "GET", path: "/lookup/2f", deadline: 2500 * time.Millisecond})
		sent++
		if got.status == http.StatusOK && got.sealed {
			served++
		}
	}
	return sent, served
}
