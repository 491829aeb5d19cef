package stand3

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	lookupPath = "/cufi504/"
	// greySlowness is how many times as long the work takes at a worker that has turned slow, greyTimes how often one does.
	greySlowness  = 8
	greyTimes     = 8
	lookupCallers = 15
)

// lookupConfiguration has one route of lookups that may be repeated, with the figures of lane-lookup.
func lookupConfiguration() map[string]any {
	c := configuration(7)
	c["routes"] = []any{map[string]any{
		"name": "r-lookup", "hostname": host, "prefix": lookupPath, "kind": "idempotent", "timeoutMs": 1200, "latencyGoalMs": 150,
		"priority": 2, "service": service, "maxAttempts": 2, "public": false, "sticky": false, "resumeStreams": false,
	}}
	return c
}

// lookupWork draws how long a lookup usually takes: 30 ms on average with a spread of 0.5, 220 ms at most.
func lookupWork() time.Duration {
	ms := 30 * math.Exp(0.5*rand.NormFloat64()-0.125)
	return time.Duration(min(ms, 220) * float64(time.Millisecond))
}

// lookupBody returns the answer to a lookup.
func lookupBody(id string) string {
	return strings.Repeat("lane of "+id+"; ", 40)
}

// lookUp answers lookups on a channel until it ends. A line end of the head is sent with the line after it, so the last
// two are sent with the body, when the work is done.
func (e *engine) lookUp(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Cardamompoint-Attempt-Id")
		if request.Header.Get("Cardamompoint-Expect-Instance") != e.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nCardamompoint-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		e.record.write(e.id, "runs", "request", id)
		body := lookupBody(id)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: %s\r\nCardamompoint-Response-Seal: seal-%s\r\nContent-Length: %d", id, e.id, len(body))
		gone := make(chan struct{})
		go func() {
			_, _ = reader.Peek(1) // A channel that ends, or the next request.
			close(gone)
		}()
		if !pause(gone, e.work(lookupWork())) {
			e.record.write(e.id, "dropped", "request", id)
			return
		}
		if _, err := io.WriteString(conn, "\r\n\r\n"+body); err != nil {
			return
		}
		<-gone
	}
}

// slowLookups lets workers of a plain service turn slow while lookups are made. The rule is MIXED.
func slowLookups(r *record, program string, trouble bool) (bool, error) {
	s := newStreams(r)
	s.configuration, s.answers = lookupConfiguration(), (*engine).lookUp
	defer s.end()
	if err := s.start(program); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wait sync.WaitGroup
	v := &verdicts{byKind: map[string]int{}}
	for caller := range lookupCallers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for number := 0; ctx.Err() == nil; number++ {
				s.askLookup(fmt.Sprintf("c%d-%d", caller, number), s.fleet.machines[rand.IntN(len(s.fleet.machines))], v)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	for at := range greyTimes {
		s.turn(s.engines[at%engines], greySlowness, trouble)
		time.Sleep(slowFor)
		s.turn(s.engines[at%engines], 1, trouble)
		time.Sleep(500 * time.Millisecond)
	}
	stop()
	wait.Wait()
	r.write("check", "MIXED", "answers", v.byKind)
	fmt.Println("MIXED: answers by kind:", v.byKind)
	return v.byKind[foreign] > 0, nil
}

// askLookup makes one lookup and judges the answer. Only answers that are not whole are recorded.
func (s *streams) askLookup(id string, m *machine, v *verdicts) {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.front()+lookupPath+id, nil)
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Cardamompoint-Attempt-Id", id)
	request.Header.Set("Cardamompoint-Request-Deadline", fmt.Sprint(budget.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+keyText)
	sent := time.Now()
	response, err := http.DefaultClient.Do(request)
	status, body := 0, []byte(nil)
	if err == nil {
		status = response.StatusCode
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	kind := whole
	switch {
	case status != http.StatusOK:
		kind = notServed
	case err != nil:
		kind = brokenOff
	case string(body) != lookupBody(id):
		kind = foreign
	}
	if kind != whole {
		s.record.write("client", "gets", "request", id, "from", m.name, "sent_s", fmt.Sprintf("%.4f", s.record.at(sent)), "status", status, "error", err,
			"verdict", kind, "body", fmt.Sprintf("%.30q", body), "want", fmt.Sprintf("%.30q", lookupBody(id)))
	}
	v.add(kind)
}
