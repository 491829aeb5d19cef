package stand

import (
	"sync"
	"time"
)

const (
	// tagTimeout is the timeoutMs of the route, answerSlack the half second that the rule allows after it.
	tagTimeout  = 3000 * time.Millisecond
	answerSlack = 500 * time.Millisecond
	// stable is stableMs.
	stable = 3000 * time.Millisecond
	// tagRequests is the number of requests that are judged.
	tagRequests = 20
)

// noWorker lets all workers of the only service crash, restarts one gateway, and then sends it
// requests with long shared prompts: they must be answered within their route's timeout.
func noWorker(b *bench) (broken bool, err error) {
	tag := route("r-tag", "/tag/", "streaming", "pin-assist", int(tagTimeout.Milliseconds()), 1500, 2)
	b.publish(7, []map[string]any{tag}, engines("pin-assist"))
	for range 3 {
		if err := b.addWorker(&worker{service: "pin-assist", work: stream(50*time.Millisecond, 40*time.Millisecond, 5)}); err != nil {
			return false, err
		}
	}
	b.addGateways(3)
	if err := b.startAll(); err != nil {
		return false, err
	}
	judged := b.gateways[0]
	time.Sleep(time.Second)
	b.sendTags(judged, 3)
	if b.trouble {
		for _, k := range b.workers {
			b.record.line("worker %s crashes", k.id)
			k.crash()
		}
	}
	time.Sleep(3 * heartbeat)
	if b.trouble {
		for _, k := range b.workers {
			b.store.remove(k.key())
			b.record.line("the entry of worker %s is removed, after three intervals of silence", k.id)
		}
	}
	time.Sleep(time.Second)
	if b.trouble {
		if err := b.restart(judged); err != nil {
			return false, err
		}
	}
	if err := b.awaitReady(judged); err != nil {
		return false, err
	}
	time.Sleep(stable + time.Second)
	b.record.line("%s has run undisturbed for stableMs and is in touch", judged.name)
	unanswered := b.sendTags(judged, tagRequests)
	b.record.summary("%s, in touch: %d of %d requests had no answer %v after timeoutMs (%v)", judged.name, unanswered, tagRequests, answerSlack, tagTimeout)
	others := b.sendTags(b.gateways[1], tagRequests)
	b.record.summary("%s, which was not restarted: %d of %d", b.gateways[1].name, others, tagRequests)
	return unanswered >= 8 && 2*unanswered > tagRequests, nil
}

// sendTags sends requests at the same time and returns the number of those that had no final answer
// half a second after their route's timeout.
func (b *bench) sendTags(g *gateway, count int) (unanswered int) {
	ask := request{
		method: "POST", path: "/tag/2f", deadline: 6 * time.Second, body: "a booking note",
		header: []string{"Cardamompoint-Model: m", "Cardamompoint-Token-Counts: 2401,25", "Cardamompoint-Prompt-Prefix: 5c1e07a2:2041,e4402b7d:360"},
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	for range count {
		all.Go(func() {
			got := b.send(g, ask)
			mu.Lock()
			defer mu.Unlock()
			if got.took > tagTimeout+answerSlack {
				unanswered++
			}
		})
	}
	all.Wait()
	return unanswered
}
