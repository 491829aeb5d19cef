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

// parallelAsks is the number of requests in progress at once.
const parallelAsks = 32

// Run runs the demo and prints its report to w. The error is not nil if the
// deployment can't be started or a check failed.
func Run(ctx context.Context, w io.Writer, options Options) error {
	f, err := startFleet(ctx, options.Deployment)
	if err != nil {
		return err
	}
	defer f.close()
	d := &run{fleet: f, options: options, report: &report{w: w}}
	d.report.count("%s: %d routers, %d engines, %d service workers, all in this process",
		options.Deployment, len(f.routers), len(f.engines), len(f.services))
	steps := []func(context.Context) error{d.askChats, d.loseEngine, d.changeTemplate, d.reportControl, d.sendDeposits, d.showPlatform}
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

// run is one run of the demo.
type run struct {
	fleet   *fleet
	options Options
	report  *report
}

// client returns a caller at the n-th router.
func (d *run) client(n int) *caller.Client {
	return caller.New(d.fleet.settings[n%len(d.fleet.settings)].Callers)
}

func (d *run) workspaces() []string {
	var names []string
	for name := range d.fleet.routers[0].TemplateVersions() {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// chat is one returning chat.
type chat struct {
	workspace, name string
	messages        []api.Message
}

// askChats asks every chat several times, each time at another router.
func (d *run) askChats(ctx context.Context) error {
	workspaces := d.workspaces()
	chats := make([]*chat, d.options.Chats)
	for i := range chats {
		chats[i] = &chat{workspace: workspaces[i%len(workspaces)], name: fmt.Sprintf("chat-%d", i)}
	}
	counts := &answerCounts{}
	for round := range d.options.Rounds {
		d.askRound(ctx, chats, round, counts)
	}
	d.report.check(counts.asked == counts.whole, "chats: %d answers asked, %d whole and each its own", counts.asked, counts.whole)
	if counts.failure != nil {
		d.report.count("the first failure: %v", counts.failure)
	}
	d.report.count("cache reuse: %d of %d returning requests found their context", counts.found, counts.returned)
	d.reportSkew()
	return nil
}

// askRound asks every chat once.
func (d *run) askRound(ctx context.Context, chats []*chat, round int, counts *answerCounts) {
	var group errgroup.Group
	group.SetLimit(parallelAsks)
	for i, c := range chats {
		group.Go(func() error {
			answer, err := d.ask(ctx, c, i+round, round)
			counts.add(answer, err, round > 0)
			return nil
		})
	}
	group.Wait()
}

const demoAnswerTokens = 24

// ask sends the chat's next message and checks the answer token by token.
func (d *run) ask(ctx context.Context, c *chat, router, round int) (*caller.Answer, error) {
	client := d.client(router)
	defer client.Close()
	c.messages = append(c.messages, api.Message{Role: "user", Content: fmt.Sprintf("question %d of %s", round, c.name)})
	completion := api.CompletionRequest{
		Workspace: c.workspace,
		Chat:      c.name,
		Messages:  c.messages,
		MaxTokens: demoAnswerTokens,
	}
	answer, err := client.Ask(ctx, completion)
	if err != nil {
		return nil, err
	}
	want := standin.Tokens(c.workspace, c.name, completion.Prompt(), demoAnswerTokens)
	if !slices.Equal(answer.Tokens, want) {
		return nil, eris.Errorf("the answer of %s is not its own", c.name)
	}
	c.messages = append(c.messages, api.Message{Role: "assistant", Content: answer.Text()})
	return answer, nil
}

func (d *run) reportSkew() {
	largest, total := 0, 0
	for _, engine := range d.fleet.engines {
		largest = max(largest, len(engine.Runs()))
		total += len(engine.Runs())
	}
	mean := float64(total) / float64(len(d.fleet.engines))
	d.report.count("skew: the busiest engine had %d requests, the mean is %.1f", largest, mean)
}

// changeTemplate publishes a parameter and waits until all routers use it.
func (d *run) changeTemplate(ctx context.Context) error {
	workspace := d.workspaces()[0]
	version, err := d.fleet.platform.Publish(config.ParametersKey(workspace), []byte(`{"answer_tokens": 99}`), -1)
	if err != nil {
		return err
	}
	begun := time.Now()
	err = waitFor(ctx, "the new parameters are in force", func() bool {
		for _, r := range d.fleet.routers {
			if r.ParameterVersion(workspace) < version {
				return false
			}
		}
		return true
	})
	d.report.check(err == nil, "configuration: a changed parameter is in force on %d routers after %d ms",
		len(d.fleet.routers), time.Since(begun).Milliseconds())
	return nil
}

// controlSample is the time over which control traffic is counted.
const controlSample = 3 * time.Second

// reportControl counts the control traffic of a fleet without requests.
func (d *run) reportControl(ctx context.Context) error {
	before := d.controlBytes()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(controlSample):
	}
	bytes := float64(d.controlBytes() - before)
	perRouter := bytes / float64(len(d.fleet.routers)) / controlSample.Seconds()
	d.report.count("control traffic: %.0f bytes per router per second, platform and engines included", perRouter)
	return nil
}

func (d *run) controlBytes() int64 {
	var total int64
	for _, r := range d.fleet.routers {
		total += r.Status().ControlBytes
	}
	return total
}
