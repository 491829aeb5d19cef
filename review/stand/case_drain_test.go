package stand

import (
	"sync"
	"time"
)

const (
	// drainBound is drainMs.
	drainBound = 2000 * time.Millisecond
	// cutAfter is how long the store lets a watch wait, cutsBefore and cutsAfter for how long before and
	// after the removal of a worker's entry it does so.
	cutAfter   = 600 * time.Millisecond
	cutsBefore = 2 * time.Second
	cutsAfter  = 3 * time.Second
	// drainClients is the number of clients, and drainPause the pause between the requests of one.
	drainClients = 12
	drainPause   = 100 * time.Millisecond
)

// drainAfterCut lets the store cut watches that have waited for a while, and then removes the entry of
// a worker that leaves: no request may reach it later than drainMs after that.
func drainAfterCut(b *bench) (broken bool, err error) {
	lookup := route("r-lookup", "/lookup/", "idempotent", "lane-book", 2500, 150, 2)
	b.publish(7, []map[string]any{lookup}, plain("lane-book"))
	reached := newRuns()
	for range 4 {
		if err := b.addWorker(&worker{service: "lane-book", work: answer(5 * time.Millisecond), onRun: reached.addAt}); err != nil {
			return false, err
		}
	}
	b.addGateways(3)
	if err := b.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stable + time.Second)
	stop := b.sendLookups()
	time.Sleep(time.Second)
	if b.trouble {
		b.record.line("from now on the store cuts each watch that has waited for %v", cutAfter)
		b.store.cutWatches(cutAfter)
	}
	time.Sleep(cutsBefore)
	leaving := b.workers[0]
	b.store.remove(leaving.key())
	removedAt := time.Now()
	b.record.line("the entry of %s is removed, and the store has acknowledged that; the worker goes on serving", leaving.id)
	time.Sleep(cutsAfter)
	b.store.cutWatches(0)
	b.record.line("the store cuts no more watches")
	time.Sleep(5 * time.Second)
	stop()
	answered, cuts := b.store.counts()
	b.record.summary("the store answered %d calls, refused none and cut %d watches", answered, cuts)
	late := 0
	for _, at := range reached.at(leaving.id) {
		if after := at.Sub(removedAt); after > drainBound {
			late++
			b.record.line("a request reached %s %d ms after its entry was removed", leaving.id, after.Milliseconds())
		}
	}
	b.record.summary("%d requests reached %s later than drainMs (%v) after its entry was removed", late, leaving.id, drainBound)
	return late > 0, nil
}

// sendLookups lets clients send requests to all gateways until stop is called.
func (b *bench) sendLookups() (stop func()) {
	end := make(chan struct{})
	var all sync.WaitGroup
	for i := range drainClients {
		g := b.gateways[i%len(b.gateways)]
		all.Go(func() {
			for {
				select {
				case <-end:
					return
				case <-time.After(drainPause):
				}
				b.send(g, request{method: "GET", path: "/lookup/2f", deadline: 2500 * time.Millisecond})
			}
		})
	}
	return func() {
		close(end)
		all.Wait()
	}
}
