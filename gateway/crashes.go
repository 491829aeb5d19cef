package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/gateway/upstream"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// proofTime is how long an engine must have gone on with an answer for the request to count as
// one that does not crash it.
const proofTime = 250 * time.Millisecond

// recordAnswering records that the endpoint has sent the first bytes of an answer's body.
func (x *exchange) recordAnswering() {
	x.answerBegan = clock.Now()
	x.gateway.crashes.RecordAnswering(x.pick.Endpoint.Service, x.answerBegan)
}

// recordAnswered records that the request does not crash the endpoint: the answer is complete, or
// has gone on for proofTime.
func (x *exchange) recordAnswered() {
	if x.proved {
		return
	}
	x.proved = true
	x.gateway.crashes.RecordAnswer(x.pick.Endpoint.Service, x.suspects, clock.Now())
}

// recordProgress records the prompt as answered once the answer has gone on for proofTime.
func (x *exchange) recordProgress() {
	if x.answering && !x.proved && clock.Now().Sub(x.answerBegan) >= proofTime {
		x.recordAnswered()
	}
}

// recordBroken looks whether the endpoint has crashed, if its connection broke before the request
// was proved harmless. It waits for the result if the request was at a crash before.
func (x *exchange) recordBroken(err error) {
	if x.proved || !upstream.Broke(err) {
		return
	}
	sentAt, brokeAt := x.started, clock.Now()
	idle, wasReset := x.conn.IdleFor(), x.conn.Unanswered(err) && (!x.conn.WasIdle() || brokeAt.Sub(sentAt) <= maxResetDelay)
	confirmed := make(chan struct{})
	go func() {
		defer close(confirmed)
		alive := x.gateway.confirmCrash(x.pick.Endpoint, x.suspects, sentAt, brokeAt)
		if alive && wasReset {
			x.gateway.idleResets.Record(x.pick.Endpoint, idle, clock.Now())
		}
	}()
	if x.gateway.crashes.SuspectsRequest(x.suspects) {
		x.awaitConfirmation(confirmed)
	}
}

// awaitConfirmation waits until the crash of an endpoint is confirmed, so that a retry knows of it.
func (x *exchange) awaitConfirmation(confirmed <-chan struct{}) {
	timer := time.NewTimer(maxConfirmWait)
	defer timer.Stop()
	select {
	case <-confirmed:
	case <-timer.C:
	case <-x.r.Context().Done():
	}
}

const (
	// confirmDelay is how long after a connection broke the endpoint is asked for another
	// one: by then a process that has crashed accepts none. confirmTimeout bounds the time for
	// that.
	confirmDelay   = 20 * time.Millisecond
	confirmTimeout = time.Second
	// maxConfirmWait bounds how long the retry of a request that is suspected already waits for that.
	maxConfirmWait = 100 * time.Millisecond
	// maxResetDelay is how soon after a request an endpoint that has given up its connection resets
	// it, the longest round trip included.
	maxResetDelay = 100 * time.Millisecond
)

// confirmCrash records a crash of an endpoint under a request unless it still accepts
// connections. It reports whether it does.
func (g *Gateway) confirmCrash(endpoint *traffic.Endpoint, parts []uint64, sentAt, brokeAt clock.Boot) (alive bool) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	clock.Sleep(ctx, confirmDelay)
	conn, err := g.pool.Dial(ctx, endpoint.ID, endpoint.Address)
	if err == nil {
		g.pool.Put(conn)
		return true
	}
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		g.crashes.RecordCrash(endpoint.Service, endpoint.Instance(), parts, sentAt, brokeAt)
	}
	return false
}

// checkQuarantine refuses a request under whose like endpoints crash.
func (c *call) checkQuarantine() error {
	now := clock.Now()
	q, found := c.gateway.crashes.Find(c.suspects, now)
	if !found {
		return nil
	}
	return code.New(code.CrashingPrompt, "%d endpoints crashed under such requests", q.Crashes).After(q.Until.Sub(now))
}
