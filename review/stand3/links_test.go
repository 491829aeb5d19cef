package stand3

import (
	"fmt"
	"net"
	"sync"
)

// links carries all that machines send each other. Each machine is told of a peer port of its own, which it takes for
// that of all machines, so that what one sends to another arrives at a link first.
type links struct {
	mu sync.Mutex
	// open are the channels between machines, and whether they have gone silent for good.
	open    map[*channel]bool
	closers []interface{ Close() error }
}

// channel is a channel between two machines.
type channel struct {
	from, to net.Conn
	silent   chan struct{}
}

const firstPeerPort = 7340

// peerPort returns the peer port of the machine with the given index.
func peerPort(index int) int { return firstPeerPort + index }

// newLinks opens the links between all machines.
func newLinks(machines []*machine) (*links, error) {
	l := &links{open: map[*channel]bool{}}
	datagrams := map[[2]int]*net.UDPConn{}
	for from := range machines {
		for to, target := range machines {
			if from == to {
				continue
			}
			at := fmt.Sprintf("%s:%d", target.ip, peerPort(from))
			listener, err := net.Listen("tcp", at)
			if err != nil {
				return l, err
			}
			l.closers = append(l.closers, listener)
			go l.accept(listener, fmt.Sprintf("%s:%d", target.ip, peerPort(to)))
			address, err := net.ResolveUDPAddr("udp4", at)
			if err != nil {
				return l, err
			}
			conn, err := net.ListenUDP("udp4", address)
			if err != nil {
				return l, err
			}
			l.closers = append(l.closers, conn)
			datagrams[[2]int{from, to}] = conn
		}
	}
	for pair, conn := range datagrams {
		from, to := pair[0], pair[1]
		target := &net.UDPAddr{IP: net.ParseIP(machines[to].ip), Port: peerPort(to)}
		go forwardDatagrams(conn, datagrams[[2]int{to, from}], target)
	}
	return l, nil
}

// forwardDatagrams sends what arrives on one link on, from the address of its sender.
func forwardDatagrams(from, as *net.UDPConn, to *net.UDPAddr) {
	buffer := make([]byte, 65507)
	for {
		size, _, err := from.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		_, _ = as.WriteToUDP(buffer[:size], to)
	}
}

func (l *links) accept(listener net.Listener, target string) {
	for {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", target)
		if err != nil {
			_ = from.(*net.TCPConn).SetLinger(0)
			_ = from.Close()
			continue
		}
		c := &channel{from: from, to: to, silent: make(chan struct{})}
		l.mu.Lock()
		l.open[c] = false
		l.mu.Unlock()
		go l.carry(c, from, to)
		go l.carry(c, to, from)
	}
}

// carry carries bytes in one direction until one side ends, or the channel goes silent.
func (l *links) carry(c *channel, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		size, err := from.Read(buffer)
		select {
		case <-c.silent:
			return // Nothing is carried any more, and no end of the channel either.
		default:
		}
		if size > 0 {
			if _, err := to.Write(buffer[:size]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
	_ = c.from.Close()
	_ = c.to.Close()
}

// goSilent lets all open channels between machines go silent for good. New ones work.
func (l *links) goSilent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for c, silent := range l.open {
		if !silent {
			l.open[c] = true
			close(c.silent)
			count++
		}
	}
	return count
}

func (l *links) close() {
	for _, c := range l.closers {
		_ = c.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		_ = c.from.Close()
		_ = c.to.Close()
	}
}
