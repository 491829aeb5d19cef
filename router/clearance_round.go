package router

import (
	"context"
	"sync"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/router/once"
)

// clearanceRound is one attempt to get a clearance.
type clearanceRound struct {
	router  *Router
	request once.ClearanceRequest

	granted int
	refused int
	holder  *once.Holder
}

// run asks all routers of the group at once and reports whether a quorum has
// yielded. It returns as soon as that is certain.
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

// ask asks one router. The question is not given up when the round ends, so
// that every router of the group learns who has the key.
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

// release tells the group that the attempt was given up.
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
