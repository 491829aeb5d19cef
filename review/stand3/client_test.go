package stand3

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// attempt is one request of a client and its answer.
type attempt struct {
	id      string
	machine *machine
	sent    time.Time
	ended   time.Time
	// status is 0 if there was no answer.
	status int
	failed string
}

// attempts holds all requests.
type attempts struct {
	mu   sync.Mutex
	byID map[string]attempt
}

// load sends requests to all machines, as the balancer would hand their clients' channels out.
type load struct {
	record   *record
	attempts *attempts
	client   *http.Client
	stop     context.CancelFunc
	wait     sync.WaitGroup
}

// startLoad sends perSecond requests a second to each machine until stopped.
func startLoad(r *record, machines []*machine, perSecond float64, host, path, key string) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{record: r, attempts: &attempts{byID: map[string]attempt{}}, stop: cancel,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20, IdleConnTimeout: 2 * time.Second, DisableCompression: true}}}
	for _, m := range machines {
		l.wait.Add(1)
		go func() {
			defer l.wait.Done()
			for number := 0; ctx.Err() == nil; number++ {
				gap := time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))
				select {
				case <-time.After(gap):
				case <-ctx.Done():
					return
				}
				l.wait.Add(1)
				go func() {
					defer l.wait.Done()
					l.send(m, fmt.Sprintf("%s-%d", m.name, number), host, path, key)
				}()
			}
		}()
	}
	return l
}

// budget is the time budget of deposits on the page of Gelek Pin.
const budget = 2500 * time.Millisecond

func (l *load) send(m *machine, id, host, path, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.front()+path, strings.NewReader("deposit of "+id))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.GetBody = nil // A request is sent once.
	request.Header.Set("Cardamompoint-Attempt-Id", id)
	request.Header.Set("Cardamompoint-Request-Deadline", fmt.Sprint(budget.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+key)
	a := attempt{id: id, machine: m, sent: time.Now()}
	l.record.write("client", "sends", "request", id, "to", m.name)
	response, err := l.client.Do(request)
	if err == nil {
		a.status = response.StatusCode
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	if err != nil {
		a.failed = err.Error()
	}
	a.ended = time.Now()
	l.record.write("client", "gets", "request", id, "status", a.status, "error", a.failed)
	l.attempts.mu.Lock()
	defer l.attempts.mu.Unlock()
	l.attempts.byID[id] = a
}

// end ends the load and waits for the requests in progress.
func (l *load) end() {
	l.stop()
	l.wait.Wait()
}
