package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

const (
	// goneCallers is the number of callers of each kind of request that send to a stopped VM.
	goneCallers = 30
	// goneAfter is when they leave, or when the time that they give is over; the VM goes on stopTime after
	// they began.
	goneAfter = 300 * time.Millisecond
	stopTime  = 1200 * time.Millisecond
	// settleTime is how long requests that were sent on would need to reach a worker.
	settleTime = 200 * time.Millisecond
)

// leaving is how a caller gives its request up.
type leaving int

const (
	leavesByClose leaving = iota
	leavesByReset
	// staysTooLong stands for a caller that stays, and whose time is over when its request is read.
	staysTooLong
	leavings
)

// goneCaller is a caller of a stopped VM.
type goneCaller struct {
	conn *net.TCPConn
	how  leaving
}

// leaveStoppedVM stops a VM's process, lets callers send requests of each kind and give them up, and lets the
// process go on. None of the requests may reach a worker.
func (s *soak) leaveStoppedVM() {
	g := s.randomGateway()
	s.logFault("callers give up requests to VM %d, whose process stands still", g.number)
	endFault := s.record.beginFault(g.number, "freeze")
	defer endFault()
	_ = g.command.Process.Signal(syscall.SIGSTOP)
	s.eventually("the process stands still", func() bool { return isStopped(g.command.Process.Pid) })
	began := time.Now()
	gone := map[string]goneCaller{}
	for number := range goneCallers {
		for _, path := range callPaths[:len(callPaths)-1] {
			id := fmt.Sprintf("900e%04x%08x", number, len(gone))
			gone[id] = s.sendToStopped(g, path, id, leaving(number)%leavings)
		}
	}
	time.Sleep(time.Until(began.Add(goneAfter)))
	for _, caller := range gone {
		caller.leave()
	}
	time.Sleep(time.Until(began.Add(stopTime)))
	_ = g.command.Process.Signal(syscall.SIGCONT)
	for id, caller := range gone {
		s.checkRefused(id, caller)
	}
	s.askUntil("a request after the stop is served", g.number, "/lookup/1", hosted.Key, http.StatusOK)
	time.Sleep(settleTime)
	for _, slot := range s.slots {
		for _, seen := range slot.worker.Load().Seen() {
			if caller, ok := gone[seen.ID]; ok {
				s.t.Errorf("%s reached %s %v after it had been sent, though its caller had given it up (%d)", seen.ID, slot.public, seen.ReceivedAt.Sub(began), caller.how)
			}
		}
	}
	for _, caller := range gone {
		caller.conn.Close()
	}
}

// isStopped reports whether all threads of a process stand still.
func isStopped(pid int) bool {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		if _, state, ok := bytes.Cut(stat, []byte(") ")); err == nil && ok && !bytes.HasPrefix(state, []byte("T")) {
			return false
		}
	}
	return len(threads) > 0
}

// sendToStopped sends a request to a VM whose process stands still.
func (s *soak) sendToStopped(g *gatewayVM, path, id string, how leaving) goneCaller {
	address := s.ip(g.number) + ":7001"
	conn, err := net.Dial("tcp", address)
	if err != nil {
		s.t.Fatal(err)
	}
	request := hosted.NewRequest(address, path, id)
	if how == staysTooLong {
		request.Header.Set("Cardamompoint-Request-Deadline", fmt.Sprint(goneAfter.Milliseconds()))
	}
	if err := request.Write(conn); err != nil {
		s.t.Fatal(err)
	}
	return goneCaller{conn.(*net.TCPConn), how}
}

// leave gives the request up.
func (c goneCaller) leave() {
	if c.how == staysTooLong {
		return
	}
	if c.how == leavesByReset {
		_ = c.conn.SetLinger(0)
	}
	c.conn.Close()
}

// checkRefused checks that a caller that stays gets status 503 for its request.
func (s *soak) checkRefused(id string, caller goneCaller) {
	if caller.how != staysTooLong {
		return
	}
	_ = caller.conn.SetReadDeadline(time.Now().Add(callTimeout))
	response, err := http.ReadResponse(bufio.NewReader(caller.conn), nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		s.t.Errorf("%s, which was read too late, got %v, %v", id, response, err)
	}
}
