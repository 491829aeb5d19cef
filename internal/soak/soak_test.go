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
	soakRounds   = flag.Int("soak-rounds", 2, "the number of rounds of faults, each followed by a calm phase")
	soakCalm     = flag.Duration("soak-calm", 5500*time.Millisecond, "the duration of each calm phase without the stable period at its start")
	soakCallers  = flag.Int("soak-callers", 8, "the number of concurrent callers")
	soakGateways = flag.Int("soak-gateways", 3, "the number of gateway processes")
	soakWorkers  = flag.Int("soak-workers", 3, "the number of workers of each service")
)

// TestSoak injects random faults into real processes. It checks invariants on what callers
// and workers saw, and that the fleet recovers completely afterwards.
func TestSoak(t *testing.T) {
	for run := range uint64(*soakRuns) {
		seed := *soakSeed + run
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { newSoak(t, seed).run(seed) })
	}
}

func (s *soak) run(seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for number := range *soakCallers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			s.runCaller(ctx, number, seed)
		}()
	}
	startedAt, done := time.Now(), make(chan struct{})
	var watchers sync.WaitGroup
	watchers.Go(func() { s.record.detectStalls(done) })
	for gateway := range s.gateways {
		watchers.Go(func() { s.pollReadiness(gateway, done) })
	}
	for range *soakRounds {
		s.injectFaults(*soakTime / time.Duration(*soakRounds))
		s.calmPhase()
	}
	s.logUndisturbedTime(startedAt, time.Now())
	close(done)
	watchers.Wait()
	s.eventually("all gateways are ready again", s.allReady)
	s.restartAllBesideResets()
	s.restartWithoutWorkers()
	s.leaveStoppedVM()
	for _, one := range s.crashCases() {
		s.checkCrashes(one)
	}
	cancel()
	callers.Wait()
	s.checkIdle()
	s.checkRecovery()
	s.checkConfigChange()
	s.checkDraining()
	s.checkResources()
	s.checkHistory()
	if s.t.Failed() {
		for _, fault := range s.injected {
			s.t.Log(fault)
		}
	}
}

// injectFaults injects random faults for duration.
func (s *soak) injectFaults(duration time.Duration) {
	s.copyStore()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		s.injectFault()
		s.writeOtherItems()
		time.Sleep(time.Duration(50+s.random.IntN(350)) * time.Millisecond)
	}
}

// calmPhase ends all faults, sometimes with the store coming back from a copy last, and waits
// until VMs count as undisturbed. Then one worker drains and versions are published, so that the
// timing checks have something to check.
func (s *soak) calmPhase() {
	s.heal()
	s.cutWatchesSometimes()
	defer s.store.CutWatches(0)
	s.restoreStoreSometimes()
	lift := s.nameLimit(s.randomSlot())
	defer lift()
	time.Sleep(stablePeriod)
	s.restores.Wait()
	s.expireReplaced()
	slot := s.randomSlot()
	s.logFault("worker at %s: drains in a calm phase", slot.public)
	s.publishWorker(slot, "draining")
	endEvacuation := s.evacuateSometimes(slot)
	for end := time.Now().Add(*soakCalm); time.Now().Before(end); {
		s.logFault("a version in a calm phase")
		s.silenceWorkerSometimes()
		s.publishVersion()
		time.Sleep(time.Duration(200+s.random.IntN(800)) * time.Millisecond)
	}
	endEvacuation()
	s.publishWorker(slot, "ready")
}

// logUndisturbedTime logs for how long VMs were undisturbed. The timing checks cover only
// that time.
func (s *soak) logUndisturbedTime(from, to time.Time) {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	var undisturbed, stalled time.Duration
	for gateway := range s.gateways {
		undisturbed += undisturbedTime(s.record.vmFaults, gateway, from, to)
	}
	for _, period := range s.record.vmFaults {
		if period.what == "host stall" {
			stalled += period.to.Sub(period.from)
		}
	}
	forgotten := int64(0)
	for _, slot := range s.slots {
		forgotten += slot.proxy.forgotten.Load()
	}
	s.t.Logf("%d requests met a connection that a worker had forgotten", forgotten)
	all := to.Sub(from) * time.Duration(len(s.gateways))
	s.t.Logf("%.1f of %.1f VM-seconds undisturbed, the host stalled for %.2f s", undisturbed.Seconds(), all.Seconds(), stalled.Seconds())
	if undisturbed == 0 {
		s.t.Log("no VM was ever undisturbed: the timing checks had nothing to check")
	}
}

// checkHistory adds what the workers received to the history and runs all historyChecks.
func (s *soak) checkHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, slot := range s.slots {
		for _, worker := range slot.all {
			for _, seen := range worker.Seen() {
				s.history.seen = append(s.history.seen, workerRequest{slot.service, worker.ID, seen})
			}
		}
	}
	for name, check := range historyChecks {
		for _, violation := range check(&s.history) {
			s.t.Errorf("%s: %s", name, violation)
		}
	}
	served, refused := 0, 0
	for _, call := range s.history.calls {
		if call.complete && call.status == http.StatusOK {
			served++
		}
		if call.status == http.StatusUnauthorized {
			refused++
		}
	}
	s.t.Logf("%d faults, the store restored %d times, %d versions, %d requests, %d served completely, %d rejected for a revoked key", len(s.injected), s.lossCount, s.version, len(s.history.calls), served, refused)
	if served == 0 {
		s.t.Error("no request was served")
	}
}

// checkIdle checks that no worker keeps working for a caller that is gone.
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

// askUntil sends requests with new IDs until one gets the wanted status.
func (s *soak) askUntil(what string, gateway int, path, key string, want int) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	s.eventually(what, func() bool {
		return s.ask(client, callRecord{id: s.newID(), path: path, key: key, gateway: gateway}, 0).status == want
	})
}

// newID returns a request ID that was not used yet.
func (s *soak) newID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("f%015x", len(s.history.calls))
}

// checkRecovery checks that each gateway serves each kind of request after the faults.
func (s *soak) checkRecovery() {
	for i := range s.gateways {
		for _, path := range callPaths {
			if path != "" {
				s.askUntil(path+" is served again", i, path, hosted.Key, http.StatusOK)
			}
		}
	}
}

// checkConfigChange publishes versions and waits until each gateway serves the path of the
// newest one and rejects the key that they revoked.
func (s *soak) checkConfigChange() {
	revokedKey := s.keys[0]
	for range 4 {
		s.publishVersion()
	}
	for i := range s.gateways {
		s.askUntil("a configuration change is applied", i, versionPath(s.version), hosted.Key, http.StatusOK)
		s.askUntil("a revoked key is refused", i, "/lookup/1", revokedKey, http.StatusUnauthorized)
	}
}

// checkDraining drains a worker. Once every gateway has applied a version that was published
// afterwards, the worker must receive no more requests.
func (s *soak) checkDraining() {
	slot := s.slots[len(s.slots)-1]
	worker := slot.worker.Load()
	s.publishWorker(slot, "draining")
	s.publishVersion()
	for i := range s.gateways {
		s.askUntil("the configuration after the draining is applied", i, versionPath(s.version), hosted.Key, http.StatusOK)
	}
	before := len(worker.Seen())
	began := time.Now()
	for i := range s.gateways {
		for range 2 * len(s.slots) {
			s.askUntil("a request is served while a worker drains", i, "/lookup/1", hosted.Key, http.StatusOK)
		}
	}
	for _, seen := range worker.Seen()[before:] {
		if seen.Header.Get("Cardamompoint-Expect-Instance") != worker.ID {
			continue // It was for the previous instance at the address.
		}
		s.t.Errorf("the draining worker %s received %s for %s %v after all VMs knew", worker.ID, seen.ID, seen.Target, seen.ReceivedAt.Sub(began))
	}
}

// checkResources checks the memory and the number of open descriptors of each process.
func (s *soak) checkResources() {
	for _, g := range s.gateways {
		dir := fmt.Sprintf("/proc/%d/", g.command.Process.Pid)
		status, err := os.ReadFile(dir + "status")
		if err != nil {
			s.t.Error(err)
			continue
		}
		if kilobytes := statusValue(status, "VmRSS:"); kilobytes <= 0 || kilobytes > maxMemoryKB {
			s.t.Errorf("VM %d has %d KB of memory", g.number, kilobytes)
		}
		descriptors, err := os.ReadDir(dir + "fd")
		if err != nil || len(descriptors) > maxDescriptors {
			s.t.Errorf("VM %d has %d descriptors, %v", g.number, len(descriptors), err)
		}
	}
}

// statusValue returns the number after name in a /proc/PID/status file, 0 if there is none.
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
