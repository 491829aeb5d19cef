package main

import (
	"net"
	"time"

	"cardamompoint.example/cardamompoint/router/source"
)

// eventually waits until done returns true. It fails the test at a timeout.
func (f *testFleet) eventually(what string, done func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(fleetTimeout)
	for !done() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(fleetPollPeriod)
	}
}

// waitReady waits until every router is ready and has heard from all others, and every
// endpoint listens.
func (f *testFleet) waitReady() {
	f.t.Helper()
	f.eventually("all routers are ready", func() bool {
		for n := range f.settings {
			if !f.ready(n + 1) {
				return false
			}
		}
		return true
	})
	for n := 1; n <= f.count(source.RoleEngine); n++ {
		f.waitListening(f.engineAddress(n))
	}
	for n := 1; n <= f.count(source.RoleService); n++ {
		f.waitListening(f.workerAddress(n))
	}
}

func (f *testFleet) count(role source.Role) int {
	count := 0
	for _, vm := range f.vms {
		if vm.Role == role {
			count++
		}
	}
	return count
}

func (f *testFleet) waitListening(address string) {
	f.t.Helper()
	f.eventually(address+" listens", func() bool {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		conn.Close()
		return true
	})
}

// ready reports whether the n-th router is ready and has heard from all others.
func (f *testFleet) ready(n int) bool {
	status, err := f.status(n)
	if err != nil || !status.Ready {
		return false
	}
	alive := 0
	for _, peer := range status.Peers {
		if peer.Health == "alive" && peer.HeardMS >= 0 {
			alive++
		}
	}
	return alive == len(f.settings)-1
}
