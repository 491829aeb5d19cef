package emulator

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/internal/clock"
)

// startTime is the virtual time at which callers begin.
const startTime = clock.Boot(time.Hour)

// sizeSpread is the standard deviation of the logarithm of sizes.
const sizeSpread = 0.6

// generateRequests returns the requests of a scenario in the order of their arrival.
func (s Scenario) generateRequests() []*Request {
	random := rand.New(rand.NewPCG(s.Seed, 17))
	var requests []*Request
	for number, kind := range s.kinds() {
		requests = append(requests, s.generateKind(random, uint64(number+1), &kind)...)
	}
	slices.SortStableFunc(requests, func(a, b *Request) int { return cmp.Compare(a.ArrivesAt, b.ArrivesAt) })
	return requests
}

// generateKind returns the requests of one kind. Requests of a flood or a burst are added
// to the usual ones.
func (s Scenario) generateKind(random *rand.Rand, number uint64, kind *Kind) []*Request {
	rate := kind.Rate * s.Load * float64(s.Engines)
	extra := rate * (workspaceShare(0)*(s.FloodFactor-1) + (s.DomainFactor-1)/domains)
	var requests []*Request
	serial := number << 40
	for at := startTime; at < startTime.Add(s.Duration); {
		pace := rate + extra
		if s.inBurst(kind, at) {
			pace *= s.BurstFactor
		}
		at = at.Add(time.Duration(random.ExpFloat64() / pace * float64(time.Second)))
		serial++
		request := &Request{ArrivesAt: at, Kind: kind, Workspace: drawWorkspace(random), VM: random.IntN(s.VMs)}
		if random.Float64() < extra/(rate+extra) {
			s.markExtra(request)
		}
		s.setPrompt(random, request, number<<32, serial)
		requests = append(requests, request)
	}
	return requests
}

// markExtra makes a request part of the flood or the burst.
func (s Scenario) markExtra(request *Request) {
	if s.FloodFactor > 1 {
		request.Workspace = 0
	}
	if s.DomainFactor > 1 {
		request.VM = request.VM / domains * domains % s.VMs
	}
}

// workspaceShare returns a workspace's usual share of the requests, which is inversely
// proportional to its number, counted from 1.
func workspaceShare(number int) float64 {
	total := 0.0
	for i := range workspaces {
		total += 1 / float64(i+1)
	}
	return 1 / float64(number+1) / total
}

// drawWorkspace returns a random workspace according to the usual shares.
func drawWorkspace(random *rand.Rand) int {
	remaining := random.Float64()
	for number := range workspaces {
		remaining -= workspaceShare(number)
		if remaining < 0 {
			return number
		}
	}
	return workspaces - 1
}

// setPrompt sets the sizes and prompt parts of a request. base is the part ID of the
// kind's root, serial makes the ID of the unique part.
func (s Scenario) setPrompt(random *rand.Rand, request *Request, base, serial uint64) {
	kind := request.Kind
	subjects := uint64(kind.Subjects * s.Engines)
	subject := random.Uint64N(subjects)
	if random.Float64() < s.HotShare {
		subject = 0
	}
	request.UniqueTokens = drawSize(random, kind.UniqueTokens)
	if random.Float64() < 0.1 {
		request.UniqueTokens = int(float64(request.UniqueTokens) * s.LongFactor)
	}
	request.AnswerTokens = drawSize(random, kind.AnswerTokens)
	request.Prompt.Parts = []traffic.Part{
		{ID: base, Tokens: kind.RootTokens},
		{ID: base + 1 + subject, Tokens: kind.SubjectTokens},
		{ID: serial << 8, Tokens: request.UniqueTokens},
	}
}

// drawSize returns a random size in tokens, log-normally distributed around a mean.
func drawSize(random *rand.Rand, mean int) int {
	return max(1, int(float64(mean)*math.Exp(sizeSpread*random.NormFloat64()-sizeSpread*sizeSpread/2)))
}
