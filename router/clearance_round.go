package router

import (
	"context"
	"sync"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/router/once"
)

// clearanceRound is one attempt to obtain a clearance from a group of routers.
type clearanceRound struct {
	router  *Router
	request once.ClearanceRequest

	// granted and refused count the answers so far.
	granted int
	refused int
	// holder is the process that has the key according to a router that refused;
	// nil if none named one.
	holder *once.Holder
}

// run asks all routers of the group in parallel and reports whether a quorum
// granted the clearance. It returns as soon as the result is certain or ctx ends.
func (c *clearanceRound) run(ctx context.Context) bool {
	group := c.request.Group
	if len(group) == 0 {
		return false
	}
	answers := make(chan once.ClearanceAnswer, len(group))
	for _, address := range group {
		go func() { answers <- c.ask(address) }()
	}
	needed := once.Quorum(len(group))
	for c.granted < needed && c.refused <= len(group)-needed {
		select {
		case answer := <-answers:
			c.count(answer)
		case <-ctx.Done():
			return false
		}
	}
	return c.granted >= needed
}

// count adds an answer to the counts.
func (c *clearanceRound) count(answer once.ClearanceAnswer) {
	if answer.Granted {
		c.granted++
		return
	}
	c.refused++
	if answer.Holder != nil {
		c.holder = answer.Holder
	}
}

// ask requests the clearance from one router. The request continues after the end
// of the round, so that every router of the group learns who has the key.
func (c *clearanceRound) ask(address string) once.ClearanceAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), c.router.clearanceTimeout())
	defer cancel()
	answer, err := callRouter(ctx, c.router, address, clearancePath, c.request, c.router.serveClearance)
	if err != nil {
		klog.Infof("exec: router %s can't be asked about key %s: %v.", address, c.request.Key.ID, err)
		return once.ClearanceAnswer{Reason: err.Error()}
	}
	return answer
}

// release tells the group that the attempt was abandoned, and waits for the
// answers.
func (c *clearanceRound) release() {
	request := once.ReleaseRequest{Key: c.request.Key, Holder: c.request.Holder}
	var releases sync.WaitGroup
	for _, address := range c.request.Group {
		releases.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), c.router.clearanceTimeout())
			defer cancel()
			callRouter(ctx, c.router, address, releasePath, request, c.router.serveRelease)
		})
	}
	releases.Wait()
}
