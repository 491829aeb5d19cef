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

// start is the time at which callers begin.
const start = clock.Boot(time.Hour)

// sizeSpread is the spread of sizes, of the logarithm.
const sizeSpread = 0.6

// work returns the requests of a scenario in the order of their arrival.
func (s Scenario) work() []*Request {
	random := rand.New(rand.NewPCG(s.Seed, 17))
	var all []*Request
	for number, kind := range Kinds() {
		all = append(all, s.kindWork(random, uint64(number+1), &kind)...)
	}
	slices.SortStableFunc(all, func(a, b *Request) int { return cmp.Compare(a.At, b.At) })
	return all
}

// kindWork returns the requests of one kind. Those that a flood or a burst adds come
// beside the usual ones.
func (s Scenario) kindWork(random *rand.Rand, number uint64, kind *Kind) []*Request {
	rate := kind.Rate * s.Load * float64(s.Engines)
	extra := rate * (workspaceShare(0)*(s.Flood-1) + (s.Domain-1)/domains)
	var all []*Request
	serial := number << 40
	for at := start; at < start.Add(s.For); {
		at = at.Add(time.Duration(random.ExpFloat64() / (rate + extra) * float64(time.Second)))
		serial++
		request := &Request{At: at, Kind: kind, Workspace: drawWorkspace(random), VM: random.IntN(s.VMs)}
		if random.Float64() < extra/(rate+extra) {
			s.setExtra(request)
		}
		s.setPrompt(random, request, number<<32, serial)
		all = append(all, request)
	}
	return all
}

// setExtra makes a request one of the flood or of the burst.
func (s Scenario) setExtra(request *Request) {
	if s.Flood > 1 {
		request.Workspace = 0
	}
	if s.Domain > 1 {
		request.VM = request.VM / domains * domains % s.VMs
	}
}

// workspaceShare is a workspace's usual part of the requests.
func workspaceShare(number int) float64 {
	total := 0.0
	for i := range workspaces {
		total += 1 / float64(i+1)
	}
	return 1 / float64(number+1) / total
}

func drawWorkspace(random *rand.Rand) int {
	left := random.Float64()
	for number := range workspaces {
		left -= workspaceShare(number)
		if left < 0 {
			return number
		}
	}
	return workspaces - 1
}

func (s Scenario) setPrompt(random *rand.Rand, request *Request, base, serial uint64) {
	kind := request.Kind
	subjects := uint64(kind.Subjects * s.Engines)
	subject := random.Uint64N(subjects)
	if random.Float64() < s.Hot {
		subject = 0
	}
	request.Own = size(random, kind.Own)
	if random.Float64() < 0.1 {
		request.Own = int(float64(request.Own) * s.Long)
	}
	request.Answer = size(random, kind.Answer)
	request.Prompt.Parts = []traffic.Part{
		{ID: base, Tokens: kind.Root},
		{ID: base + 1 + subject, Tokens: kind.Shared},
		{ID: serial << 8, Tokens: request.Own},
	}
}

// size draws a size around a mean.
func size(random *rand.Rand, mean int) int {
	return max(1, int(float64(mean)*math.Exp(sizeSpread*random.NormFloat64()-sizeSpread*sizeSpread/2)))
}
