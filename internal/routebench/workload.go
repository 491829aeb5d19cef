package routebench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"cardamompoint.example/cardamompoint/rank"
)

// The pattern in which chats return.
const (
	// workspaces is the number of workspaces that chats belong to.
	workspaces = 10
	// meanTurns is the mean number of requests of a chat.
	meanTurns = 8
	// lateReturnFraction is the fraction of returns that come hours later.
	lateReturnFraction = 0.015
	// pauseMedian and pauseSpread define the lognormal distribution of the pauses
	// before the other returns.
	pauseMedian = 75 * time.Second
	pauseSpread = 0.9
	// minLatePause and maxLatePause bound the pause before a late return.
	minLatePause = time.Hour
	maxLatePause = 2 * time.Hour
	// questionTokens is the length of the question that each turn adds to the
	// prompt, besides the last answer.
	questionTokens = 30
)

// Workload returns the requests of a deployment in order of arrival. The same
// seed gives the same requests.
func Workload(d Deployment, seed uint64) []Request {
	random := rand.New(rand.NewPCG(seed, uint64(d.Engines)))
	chatRate := requestRate * float64(d.Engines) / meanTurns
	var work []Request
	// Chats that began before the run put the fleet into its steady state.
	start := -maxLatePause
	for chat := 0; start < warmUp+measuredTime; chat++ {
		start += time.Duration(random.ExpFloat64() / chatRate * float64(time.Second))
		work = appendChat(work, random, chat, start, d.Routers)
	}
	slices.SortFunc(work, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return work
}

// appendChat appends the requests of one chat within the run.
func appendChat(work []Request, random *rand.Rand, chat int, at time.Duration, routers int) []Request {
	kind := drawClass(random)
	prompt := kind.promptTokens
	workspace := "workspace-" + strconv.Itoa(chat%workspaces)
	key := rank.Key(workspace, strconv.Itoa(chat))
	for turn := 0; at < warmUp+measuredTime; turn++ {
		bound := kind.drawMaxAnswer(random)
		request := Request{
			At:              at,
			Entry:           random.IntN(routers),
			Chat:            chat,
			Key:             key,
			Workspace:       workspace,
			Priority:        kind.priority,
			Turn:            turn,
			PromptTokens:    prompt,
			MaxAnswerTokens: int(bound),
			AnswerTokens:    max(1, int(bound*(0.5+0.5*random.Float64()))),
		}
		if at >= 0 {
			work = append(work, request)
		}
		if random.Float64() < 1.0/meanTurns {
			break
		}
		prompt += request.AnswerTokens + questionTokens
		at += request.serviceTime() + pause(random)
	}
	return work
}

// pause draws the time between an answer and the chat's next request.
func pause(random *rand.Rand) time.Duration {
	if random.Float64() < lateReturnFraction {
		return minLatePause + time.Duration(random.Float64()*float64(maxLatePause-minLatePause))
	}
	return time.Duration(float64(pauseMedian) * math.Exp(pauseSpread*random.NormFloat64()))
}
