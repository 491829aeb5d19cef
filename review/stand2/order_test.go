package stand2

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// streamEvents is the number of events of each stream, eventGap the time between two of them.
	streamEvents = 40
	eventGap     = 30 * time.Millisecond
	// troubleTime is how long one of the workers is in trouble. It then fails faultyRequests of every faultyOf requests: it
	// stops after stopAfter events, and goes on at the end of that time.
	troubleTime    = 6500 * time.Millisecond
	faultyRequests = 2
	faultyOf       = 5
	stopAfter      = 6
	// workers is the number of workers, callers that of clients, each of which sends streamsEach streams one after the other.
	workers     = 7
	callers     = 36
	streamsEach = 4
)

// runOrder sends streams that may be resumed. One of the workers stops in the middle of an event of some of them, unless
// trouble is false. It checks that no piece of a stream is missing or comes twice.
func runOrder(r *record, trouble bool) int {
	d, err := newDeployment(r, 3)
	if err != nil {
		return failed(err)
	}
	defer d.close()
	d.store.put("op/config", configuration(1))
	var begun atomic.Int64 // When the first stream began, in Unix milliseconds.
	var requests atomic.Int64
	for i := range workers {
		inTrouble := trouble && i == 0
		w, err := d.startWorker("llm", i+1, d.zones[i%3], func(_ *worker, q *http.Request) behavior {
			b := behavior{status: http.StatusOK, events: streamEvents, gap: eventGap, stopAfter: -1}
			left := troubleTime - time.Since(time.UnixMilli(begun.Load()))
			if inTrouble && left > 0 && last(q) == 0 && requests.Add(1)%faultyOf < faultyRequests {
				b.stopAfter, b.silence = stopAfter, left
			}
			return b
		})
		if err != nil {
			return failed(err)
		}
		defer w.close()
		d.store.put("servers/"+w.id, w.entry("ready", 1))
	}
	for _, g := range d.gateways {
		if err := d.start(g, true); err != nil {
			return failed(err)
		}
	}
	if !d.awaitReady(20 * time.Second) {
		return failed(fmt.Errorf("the gateways are not ready"))
	}
	time.Sleep(time.Second)
	begun.Store(time.Now().UnixMilli())
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, broken := 0, 0
	for n := range callers {
		wg.Go(func() {
			g := d.gateways[n%len(d.gateways)]
			for range streamsEach {
				err := oneStream(d, g)
				mu.Lock()
				if err == nil {
					served++
				} else {
					broken++
					r.add("broken", map[string]any{"rule": "ORDER", "what": err.Error()})
					fmt.Println("ORDER:", err)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	fmt.Printf("%d streams were in order, %d were not\n", served, broken)
	if broken > 0 {
		return ruleBroken
	}
	if served == 0 {
		return couldNotRun
	}
	return ruleHeld
}

// oneStream sends a request for a stream and returns what is wrong with the pieces that came. A stream that ends early is no
// fault here.
func oneStream(d *deployment, g *gatewayProcess) error {
	c, err := open(d.front(g))
	if err != nil {
		return nil
	}
	defer c.conn.Close()
	id := newID()
	key := id + ":250"
	q := &request{id: id, method: http.MethodPost, host: "h.example", path: "/stream/", key: "key-one", deadline: 15 * time.Second, body: []byte("prompt"), header: map[string]string{
		"Cardamompoint-Model":         "m",
		"Cardamompoint-Token-Counts":  "1460,80",
		"Cardamompoint-Prompt-Prefix": fmt.Sprintf("%08x:800,%s", rand.Uint32(), key),
	}}
	d.record.add("sent", map[string]any{"id": id, "to": g.name, "uri": q.path})
	a, _ := c.do(q)
	d.record.add("answered", map[string]any{"id": id, "status": a.status, "bytes": len(a.body), "complete": a.complete, "ms": a.took.Milliseconds(), "error": fmt.Sprint(a.err)})
	if a.status != http.StatusOK {
		return nil
	}
	if err := checkStream(key, streamEvents, a.body, a.complete); err != nil {
		d.record.add("body", map[string]any{"id": id, "text": string(a.body)})
		return fmt.Errorf("stream %s at %s: %w", id, g.name, err)
	}
	return nil
}

// configuration is a configuration with a route whose streams may be resumed.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-stream", "hostname": "h.example", "prefix": "/stream/", "kind": "streaming", "timeoutMs": 15000,
			"latencyGoalMs": 800, "gapTargetMs": 400, "priority": 0, "service": "llm", "maxAttempts": 2, "public": false,
			"sticky": true, "resumeStreams": true,
		}},
		"services": []any{map[string]any{
			"name": "llm", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kvCapacity": 546534},
		}},
		"limits":  map[string]any{"headerBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "t1", "keys": []string{"key-one"}, "priority": 1}},
	}
}

// last returns the number of the last event that a request says its client has.
func last(r *http.Request) int {
	number, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	return number
}
