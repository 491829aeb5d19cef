package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"cardamompoint.example/cardamompoint/internal/caller"
	"cardamompoint.example/cardamompoint/internal/standin"
	"cardamompoint.example/cardamompoint/router/api"
	"cardamompoint.example/cardamompoint/router/config"
)

// maxParallelRequests bounds the requests in progress at the same time.
const maxParallelRequests = 32

// Run runs the demo and prints its report to w. It returns an error if the deployment
// can't be started or a check failed.
func Run(ctx context.Context, w io.Writer, options Options) error {
	f, err := startFleet(ctx, options.Deployment)
	if err != nil {
		return err
	}
	defer f.close()
	d := &demoRun{fleet: f, options: options, report: &report{w: w}}
	d.report.printf("%s: %d routers, %d engines, %d service workers, all in this process",
		options.Deployment, len(f.routers), len(f.engines), len(f.services))
	steps := []func(context.Context) error{d.checkChats, d.checkEngineLoss, d.checkParameterChange, d.reportControl, d.checkDeposits, d.checkPlatform}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if d.report.failed > 0 {
		return eris.Errorf("%d checks failed", d.report.failed)
	}
	return nil
}

// demoRun is one run of the demo.
type demoRun struct {
	fleet   *fleet
	options Options
	report  *report
}

// client returns a client of the n-th router, modulo the number of routers.
func (d *demoRun) client(n int) *caller.Client {
	return caller.New(d.fleet.settings[n%len(d.fleet.settings)].Callers)
}

// workspaces returns the names of all workspaces, sorted.
func (d *demoRun) workspaces() []string {
	var names []string
	for name := range d.fleet.routers[0].TemplateVersions() {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// chat is a chat with its messages so far.
type chat struct {
	workspace, name string
	messages        []api.Message
}

// checkChats sends several messages of each chat, each to another router, and checks the
// answers.
func (d *demoRun) checkChats(ctx context.Context) error {
	workspaces := d.workspaces()
	chats := make([]*chat, d.options.Chats)
	for i := range chats {
		chats[i] = &chat{workspace: workspaces[i%len(workspaces)], name: fmt.Sprintf("chat-%d", i)}
	}
	counts := &answerCounts{}
	for round := range d.options.Rounds {
		d.requestRound(ctx, chats, round, counts)
	}
	d.report.check(counts.requested == counts.complete, "chats: %d answers asked, %d whole and each its own", counts.requested, counts.complete)
	if counts.firstError != nil {
		d.report.printf("first error: %v", counts.firstError)
	}
	d.report.printf("cache reuse: %d of %d returning requests found their context", counts.reused, counts.returning)
	d.reportSkew()
	return nil
}

// requestRound sends the next message of each chat and waits for all answers.
func (d *demoRun) requestRound(ctx context.Context, chats []*chat, round int, counts *answerCounts) {
	var group errgroup.Group
	group.SetLimit(maxParallelRequests)
	for i, c := range chats {
		group.Go(func() error {
			answer, err := d.requestAnswer(ctx, c, i+round, round)
			counts.add(answer, err, round > 0)
			return nil
		})
	}
	group.Wait()
}

// maxAnswerTokens is the length of each answer in tokens.
const maxAnswerTokens = 24

// requestAnswer sends the next message of a chat to a router and checks that the answer is
// complete and consists of exactly the tokens for this chat.
func (d *demoRun) requestAnswer(ctx context.Context, c *chat, router, round int) (*caller.Answer, error) {
	client := d.client(router)
	defer client.Close()
	c.messages = append(c.messages, api.Message{Role: "user", Content: fmt.Sprintf("question %d of %s", round, c.name)})
	completion := api.CompletionRequest{
		Workspace: c.workspace,
		Chat:      c.name,
		Messages:  c.messages,
		MaxTokens: maxAnswerTokens,
	}
	answer, err := client.Ask(ctx, completion)
	if err != nil {
		return nil, err
	}
	want := standin.Tokens(c.workspace, c.name, completion.Prompt(), maxAnswerTokens)
	if !slices.Equal(answer.Tokens, want) {
		return nil, eris.Errorf("the answer to %s has tokens of another chat or is incomplete", c.name)
	}
	c.messages = append(c.messages, api.Message{Role: "assistant", Content: answer.Text()})
	return answer, nil
}

// reportSkew prints the load of the busiest engine and the mean.
func (d *demoRun) reportSkew() {
	largest, total := 0, 0
	for _, engine := range d.fleet.engines {
		largest = max(largest, len(engine.Runs()))
		total += len(engine.Runs())
	}
	mean := float64(total) / float64(len(d.fleet.engines))
	d.report.printf("skew: the busiest engine had %d requests, the mean is %.1f", largest, mean)
}

// checkParameterChange publishes a changed parameter and waits until all routers use it.
func (d *demoRun) checkParameterChange(ctx context.Context) error {
	workspace := d.workspaces()[0]
	version, err := d.fleet.platform.Publish(config.ParametersKey(workspace), []byte(`{"answer_tokens": 99}`), -1)
	if err != nil {
		return err
	}
	start := time.Now()
	err = waitFor(ctx, "the new parameters are in force", func() bool {
		for _, r := range d.fleet.routers {
			if r.ParameterVersion(workspace) < version {
				return false
			}
		}
		return true
	})
	d.report.check(err == nil, "configuration: a changed parameter is in force on %d routers after %d ms",
		len(d.fleet.routers), time.Since(start).Milliseconds())
	return nil
}

// controlSampleTime is the time over which control traffic is counted.
const controlSampleTime = 3 * time.Second

// reportControl prints the control traffic of the idle fleet.
func (d *demoRun) reportControl(ctx context.Context) error {
	before := d.controlBytes()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(controlSampleTime):
	}
	bytes := float64(d.controlBytes() - before)
	perRouter := bytes / float64(len(d.fleet.routers)) / controlSampleTime.Seconds()
	d.report.printf("control traffic: %.0f bytes per router per second, platform and engines included", perRouter)
	return nil
}

// controlBytes returns the control bytes that all routers have counted so far.
func (d *demoRun) controlBytes() int64 {
	var total int64
	for _, r := range d.fleet.routers {
		total += r.Status().ControlBytes
	}
	return total
}
