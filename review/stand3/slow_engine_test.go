package stand3

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	engines = 7
	// slowness is how many times as long the work takes at an engine that has turned slow, slowFor for how long, and
	// slowTimes how often one turns slow: one of seven, another one each time.
	slowness  = 4
	slowFor   = 5 * time.Second
	slowTimes = 5
	// callers is the number of callers, each with one request at a time.
	callers     = 120
	streamPath  = "/lohu930/"
	streamTime  = 15 * time.Second
	maxAttempts = 2
)

// streamConfiguration has one route of streams that may be resumed, with the figures of lane-roster.
func streamConfiguration() map[string]any {
	c := configuration(7)
	c["routes"] = []any{map[string]any{
		"name": "r-fi6y7z5", "hostname": host, "prefix": streamPath, "kind": "streaming", "timeoutMs": 15000, "latencyGoalMs": 800, "gapTargetMs": 400,
		"priority": 0, "service": service, "maxAttempts": maxAttempts, "public": false, "sticky": true, "resumeStreams": true,
	}}
	c["services"] = []any{map[string]any{
		"name": service, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 64, "kvCapacity": 546534, "kvBytes": 18432, "linkMbps": 180000.0, "models": []any{map[string]any{"name": "m"}}},
	}}
	return c
}

// streams are a fleet and its engines.
type streams struct {
	deployment
	engines []*engine
	runsAt  *engineRuns
	// configuration is what the operator publishes, answers how the engines answer on a channel.
	configuration map[string]any
	answers       func(*engine, net.Conn)
}

func (s *streams) start(program string) error {
	var err error
	if s.dir, err = os.MkdirTemp("", "review-3-"); err != nil {
		return err
	}
	if s.network, err = freeNetwork(); err != nil {
		return err
	}
	if err := s.store.serve(fmt.Sprintf("%s.9.1:%d", s.network, storePort)); err != nil {
		return err
	}
	for at := range engines {
		e := &engine{
			record: s.record, id: fmt.Sprintf("i-engine-%d", at+1), zone: zones[at%len(zones)],
			address: fmt.Sprintf("%s.8.%d:%d", s.network, at+1, workerPort), open: map[net.Conn]bool{}, runs: s.runsAt,
		}
		e.slowness.Store(1)
		if err := e.serve(s.answers); err != nil {
			return err
		}
		s.engines = append(s.engines, e)
		s.store.put("servers/"+e.id, e.entry())
	}
	s.store.put("op/config", s.configuration)
	s.fleet = newFleet(s.record, program, s.dir, s.network, []int{3, 2, 2})
	if s.links, err = newLinks(s.fleet.machines); err != nil {
		return err
	}
	if err := s.fleet.startAll(); err != nil {
		return err
	}
	return s.fleet.awaitReady(20 * time.Second)
}

func (s *streams) end() {
	for _, e := range s.engines {
		if e.listener != nil {
			e.close()
		}
	}
	s.close()
}

// play lets streams begin and, with trouble, one engine after the other turn slow.
func (s *streams) play(program string, trouble bool) (*verdicts, error) {
	if err := s.start(program); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wait sync.WaitGroup
	v := &verdicts{byKind: map[string]int{}}
	for caller := range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for number := 0; ctx.Err() == nil; number++ {
				s.ask(fmt.Sprintf("c%d-%d", caller, number), s.fleet.machines[rand.IntN(len(s.fleet.machines))], v)
			}
		}()
	}
	time.Sleep(3 * time.Second)
	for at := range slowTimes {
		s.turn(s.engines[at], slowness, trouble)
		time.Sleep(slowFor)
		s.turn(s.engines[at], 1, trouble)
		time.Sleep(time.Second)
	}
	stop()
	wait.Wait()
	return v, nil
}

// turn sets how slow an engine is.
func (s *streams) turn(e *engine, slowness int64, trouble bool) {
	if trouble {
		s.record.write(e.id, "turns", "times_as_long", slowness)
		e.slowness.Store(slowness)
	}
}

// slowEngineOrder lets engines turn slow while streams begin. The rule is ORDER.
func slowEngineOrder(r *record, program string, trouble bool) (bool, error) {
	s := newStreams(r)
	defer s.end()
	v, err := s.play(program, trouble)
	if err != nil {
		return false, err
	}
	r.write("check", "ORDER", "answers", v.byKind)
	fmt.Println("ORDER: answers by kind:", v.byKind)
	return v.byKind[partAsWhole]+v.byKind[foreign] > 0, nil
}

// slowEngineTwice lets engines turn slow while streams begin. The rule is TWICE, of model workers.
func slowEngineTwice(r *record, program string, trouble bool) (bool, error) {
	s := newStreams(r)
	defer s.end()
	v, err := s.play(program, trouble)
	if err != nil {
		return false, err
	}
	twice, over := 0, 0
	for id, all := range s.runsAt.byID {
		if len(all) > maxAttempts {
			over++
			r.write("check", "ran at more workers than maxAttempts", "request", id, "workers", len(all))
		}
		if beside := longestBeside(all); beside > besideAllowed {
			twice++
			r.write("check", "goes on at another worker", "request", id, "the_one_before_still_works_s", fmt.Sprintf("%.3f", beside.Seconds()))
		}
	}
	r.write("check", "TWICE", "twice", twice, "over_max_attempts", over, "answers", v.byKind)
	fmt.Printf("TWICE: %d requests went on at another worker while the one before still worked on them 400 ms later; %d ran at more workers than "+
		"maxAttempts (%d); answers by kind: %v\n", twice, over, maxAttempts, v.byKind)
	return twice > 0, nil
}

// besideAllowed is for how long a worker may work on beside the one at which its request goes on.
const besideAllowed = 400 * time.Millisecond

// longestBeside returns for how long at most a worker worked on after a later one had sent its first event.
func longestBeside(all []*engineRun) time.Duration {
	longest := time.Duration(0)
	for at, before := range all {
		for _, next := range all[at+1:] {
			if !next.began.IsZero() && !before.ended.IsZero() {
				longest = max(longest, before.ended.Sub(next.began))
			}
		}
	}
	return longest
}

func newStreams(r *record) *streams {
	return &streams{deployment: deployment{record: r, store: newStore(r), runs: &runs{}}, runsAt: &engineRuns{byID: map[string][]*engineRun{}},
		configuration: streamConfiguration(), answers: (*engine).stream}
}

// What a client got.
const (
	whole       = "whole"
	partAsWhole = "a part that ends as complete"
	foreign     = "other bytes"
	brokenOff   = "broken off"
	notServed   = "no success"
)

type verdicts struct {
	mu     sync.Mutex
	byKind map[string]int
}

func (v *verdicts) add(kind string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.byKind[kind]++
}

// judge says what a client got.
func judge(id string, status int, body string, err error) string {
	want := wholeAnswer(id)
	switch {
	case status != http.StatusOK:
		return notServed
	case !strings.HasPrefix(want, body):
		return foreign
	case err != nil:
		return brokenOff
	case body != want:
		return partAsWhole
	default:
		return whole
	}
}

// ask asks for one stream and judges the answer.
func (s *streams) ask(id string, m *machine, v *verdicts) {
	ctx, cancel := context.WithTimeout(context.Background(), streamTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.front()+streamPath, strings.NewReader("prompt of "+id))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.GetBody = nil
	for name, value := range map[string]string{
		"Cardamompoint-Attempt-Id": id, "Cardamompoint-Request-Deadline": fmt.Sprint(streamTime.Milliseconds()), "Cardamompoint-Model": "m",
		"Cardamompoint-Token-Counts": "460,80", "Cardamompoint-Prompt-Prefix": fmt.Sprintf("5c1e07a2:100,%x:200,%x:160", 1+rand.IntN(60), rand.Uint32()),
		"Authorization": "Bearer " + keyText,
	} {
		request.Header.Set(name, value)
	}
	s.record.write("client", "sends", "request", id, "to", m.name)
	status, body := 0, []byte(nil)
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		status = response.StatusCode
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	kind := judge(id, status, string(body), err)
	s.record.write("client", "gets", "request", id, "status", status, "bytes", len(body), "of", len(wholeAnswer(id)), "error", err, "verdict", kind)
	v.add(kind)
}
