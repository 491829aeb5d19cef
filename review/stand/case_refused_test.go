package stand

import (
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// deposits is the number of deposits that clients make.
	deposits = 60
	// failEvery is how many requests of a worker there are for each one that fails.
	failEvery = 3
	// depositRetries is how often a client sends a deposit again that was refused.
	depositRetries = 1
)

// promises are the statuses that promise that a request has not run and never will.
var promises = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// refusedAfterRun lets workers fail requests that they have run, with a 503 of their own that lacks
// Cardamompoint-Not-Executed: no client may get a promise that its request has not run.
func refusedAfterRun(b *bench) (broken bool, err error) {
	deposit := route("r-deposit", "/deposit/", "non_idempotent", "lane-book", 2500, 150, 1)
	b.publish(7, []map[string]any{deposit}, plain("lane-book"))
	ran, booked := newRuns(), newRuns()
	status := http.StatusInternalServerError
	if b.trouble {
		status = http.StatusServiceUnavailable
	}
	for range 3 {
		var served atomic.Int64
		k := &worker{service: "lane-book"}
		k.onRun = func(k *worker, r *http.Request, at time.Time) {
			id := r.Header.Get("Cardamompoint-Attempt-Id")
			ran.add(id, at)
			booked.add(r.Header.Get("Deposit"), at)
			b.record.line("worker %s runs %s and books %s", k.id, id, r.Header.Get("Deposit"))
		}
		k.work = func(w http.ResponseWriter, r *http.Request) {
			if served.Add(1)%failEvery != 0 {
				answer(5*time.Millisecond)(w, r)
				return
			}
			b.record.line("worker %s answers %s with %d", k.id, r.Header.Get("Cardamompoint-Attempt-Id"), status)
			w.WriteHeader(status)
			_, _ = w.Write([]byte("the deposit was booked, its receipt failed")) // The gateway may have gone.
		}
		if err := b.addWorker(k); err != nil {
			return false, err
		}
	}
	b.addGateways(3)
	if err := b.startAll(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	promised, twice := 0, 0
	for number := range deposits {
		name := newID()
		ask := request{method: "POST", path: "/deposit/2f", deadline: 2500 * time.Millisecond, header: []string{"Deposit: " + name}, body: "a deposit"}
		for attempt := range 1 + depositRetries {
			got := b.send(b.gateways[(number+attempt)%len(b.gateways)], ask)
			if !slices.Contains(promises, got.status) {
				break
			}
			if ran.count(got.id) > 0 {
				promised++
				b.record.line("%s has run, and its client was told by %d that it has not", got.id, got.status)
			}
		}
		if booked.count(name) > 1 {
			twice++
		}
	}
	b.record.summary("%d requests had run and were answered 503; as clients retry after that, %d of %d deposits were booked twice", promised, twice, deposits)
	return promised > 0, nil
}
