package soak

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

var (
	soakSeed     = flag.Uint64("soak-seed", 1, "the first seed of the soak")
	soakRuns     = flag.Int("soak-runs", 1, "the number of seeds of the soak")
	soakTime     = flag.Duration("soak-time", 8*time.Second, "how long faults are injected with each seed")
	soakRounds   = flag.Int("soak-rounds", 2, "the number of rounds of faults, each with a calm time behind it")
	soakCalm     = flag.Duration("soak-calm", 5500*time.Millisecond, "how long VMs may be in touch in each calm time")
	soakCalls    = flag.Int("soak-callers", 8, "the number of callers that ask at the same time")
	soakGateways = flag.Int("soak-gateways", 3, "the number of gateway processes")
	soakWorkers  = flag.Int("soak-workers", 3, "the number of workers of each service")
)

// TestSoak injects random faults from outside into real processes and checks from
// what callers and workers see what must always hold, and that all is served again
// afterwards.
func TestSoak(t *testing.T) {
	for run := range uint64(*soakRuns) {
		seed := *soakSeed + run
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { newSoak(t, seed).run(seed) })
	}
}

func (s *soak) run(seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for number := range *soakCalls {
		callers.Add(1)
		go func() {
			defer callers.Done()
			s.call(ctx, number, seed)
		}()
	}
	watched, done := time.Now(), make(chan struct{})
	var watchers sync.WaitGroup
	watchers.Go(func() { s.record.beat(done) })
	for gateway := range s.gateways {
		watchers.Go(func() { s.lookAtReadiness(gateway, done) })
	}
	for range *soakRounds {
		s.storm(*soakTime / time.Duration(*soakRounds))
		s.calm()
	}
	s.touched(watched, time.Now())
	close(done)
	watchers.Wait()
	s.eventually("all gateways are ready again", s.allReady)
	cancel()
	callers.Wait()
	s.checkIdle()
	s.checkRecovery()
	s.checkChange()
	s.checkLeaving()
	s.checkResources()
	s.checkHistory()
	if s.t.Failed() {
		for _, fault := range s.plan {
			s.t.Log(fault)
		}
	}
}

// storm injects faults for a while.
func (s *soak) storm(long time.Duration) {
	for end := time.Now().Add(long); time.Now().Before(end); {
		s.fault()
		time.Sleep(time.Duration(50+s.random.IntN(350)) * time.Millisecond)
	}
}

// calm ends all faults. Once VMs are in touch, a worker drains, and versions come.
func (s *soak) calm() {
	s.heal()
	time.Sleep(soakStable)
	slot := s.anySlot()
	s.note("worker at %s: drains in a calm time", slot.public)
	s.publishWorker(slot, "draining")
	for end := time.Now().Add(*soakCalm); time.Now().Before(end); {
		s.note("a version in a calm time")
		s.publish()
		time.Sleep(time.Duration(200+s.random.IntN(800)) * time.Millisecond)
	}
	s.publishWorker(slot, "ready")
}

// touched tells for how long VMs were in touch: checks of time see only that.
func (s *soak) touched(from, to time.Time) {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	var touched, late time.Duration
	for gateway := range s.gateways {
		touched += touchedFor(s.record.spells, gateway, from, to)
	}
	for _, spell := range s.record.spells {
		if spell.what == "machine" {
			late += spell.to.Sub(spell.from)
		}
	}
	all := to.Sub(from) * time.Duration(len(s.gateways))
	s.t.Logf("%.1f of %.1f VM-seconds in touch, the machine stood still for %.2f s", touched.Seconds(), all.Seconds(), late.Seconds())
	if touched == 0 {
		s.t.Log("no VM was in touch at any time: the checks of time prove nothing")
	}
}

// checkHistory runs all checks of what was seen.
func (s *soak) checkHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, slot := range s.slots {
		for _, worker := range slot.all {
			for _, seen := range worker.Seen() {
				s.history.seen = append(s.history.seen, soakSeen{slot.service, worker.ID, seen})
			}
		}
	}
	for name, check := range soakChecks {
		for _, violation := range check(&s.history) {
			s.t.Errorf("%s: %s", name, violation)
		}
	}
	served, refused := 0, 0
	for _, call := range s.history.calls {
		if call.whole && call.status == http.StatusOK {
			served++
		}
		if call.status == http.StatusUnauthorized {
			refused++
		}
	}
	s.t.Logf("%d faults, %d versions, %d requests, %d served whole, %d with a key that is gone", len(s.plan), s.version, len(s.history.calls), served, refused)
	if served == 0 {
		s.t.Error("nothing was served")
	}
}

// checkIdle: no worker goes on with work whose caller is gone.
func (s *soak) checkIdle() {
	s.eventually("all workers are idle", func() bool {
		for _, slot := range s.slots {
			for _, worker := range slot.all {
				if worker.Active() > 0 {
					return false
				}
			}
		}
		return true
	})
}

// askNew asks with new ids until the status is as wanted.
func (s *soak) askNew(what string, gateway int, path, key string, want int) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: soakTimeout}
	s.eventually(what, func() bool {
		return s.ask(client, soakCall{id: s.newID(), path: path, key: key, gateway: gateway}, 0).status == want
	})
}

// newID returns an id that no caller has used.
func (s *soak) newID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("f%015x", len(s.history.calls))
}

// checkRecovery asks each kind at each gateway after the faults have ended.
func (s *soak) checkRecovery() {
	for i := range s.gateways {
		for _, path := range soakPaths {
			if path != "" {
				s.askNew(path+" is served again", i, path, hosted.Key, http.StatusOK)
			}
		}
	}
}

// checkChange publishes versions and waits until each gateway serves the newest
// one's path and refuses the key that is gone.
func (s *soak) checkChange() {
	gone := s.keys[0]
	for range 4 {
		s.publish()
	}
	for i := range s.gateways {
		s.askNew("a change is in force", i, versionPath(s.version), hosted.Key, http.StatusOK)
		s.askNew("a revoked key is refused", i, "/lookup/1", gone, http.StatusUnauthorized)
	}
}

// checkLeaving lets a worker leave; once one request went elsewhere at each
// gateway that knows of it, it gets no more.
func (s *soak) checkLeaving() {
	slot := s.slots[len(s.slots)-1]
	worker := slot.worker.Load()
	s.publishWorker(slot, "draining")
	s.publish()
	for i := range s.gateways {
		s.askNew("the change behind the leaving is in force", i, versionPath(s.version), hosted.Key, http.StatusOK)
	}
	before := len(worker.Seen())
	began := time.Now()
	for i := range s.gateways {
		for range 2 * len(s.slots) {
			s.askNew("a request is served without the leaving worker", i, "/lookup/1", hosted.Key, http.StatusOK)
		}
	}
	for _, seen := range worker.Seen()[before:] {
		if seen.Header.Get("Cardamompoint-Expect-Instance") != worker.ID {
			continue // It was meant for an instance that was at the address before.
		}
		s.t.Errorf("the leaving worker %s got %s for %s %v after all VMs knew", worker.ID, seen.ID, seen.Target, seen.ReceivedAt.Sub(began))
	}
}

// checkResources: memory and descriptors of each process are bounded.
func (s *soak) checkResources() {
	for _, g := range s.gateways {
		folder := fmt.Sprintf("/proc/%d/", g.command.Process.Pid)
		status, err := os.ReadFile(folder + "status")
		if err != nil {
			s.t.Error(err)
			continue
		}
		if kilobytes := statusValue(status, "VmRSS:"); kilobytes <= 0 || kilobytes > soakMemoryKB {
			s.t.Errorf("VM %d has %d KB of memory", g.number, kilobytes)
		}
		descriptors, err := os.ReadDir(folder + "fd")
		if err != nil || len(descriptors) > soakDescriptors {
			s.t.Errorf("VM %d has %d descriptors, %v", g.number, len(descriptors), err)
		}
	}
}

// statusValue returns a number of a process's status, 0 if there is none.
func statusValue(status []byte, name string) int {
	_, rest, _ := bytes.Cut(status, []byte(name))
	words := bytes.Fields(rest)
	if len(words) == 0 {
		return 0
	}
	value, err := strconv.Atoi(string(words[0]))
	if err != nil {
		return 0
	}
	return value
}
