package routebench

import (
	"math"
	"math/rand/v2"

	"cardamompoint.example/cardamompoint/router/template"
)

// class is a class of chats in the workload.
type class struct {
	// priority is the priority class of the requests.
	priority template.Priority
	// fraction is the fraction of all chats.
	fraction float64
	// promptTokens is the length of the first prompt.
	promptTokens int
	// drawMaxAnswer draws a maximum length of an answer, in tokens.
	drawMaxAnswer func(*rand.Rand) float64
}

// classes are tags, chat replies and long answers with a heavy-tailed length.
var classes = []class{
	{priority: template.PriorityTag, fraction: 0.20, promptTokens: 60, drawMaxAnswer: func(r *rand.Rand) float64 { return 16 + 16*r.Float64() }},
	{priority: template.PriorityChat, fraction: 0.72, promptTokens: 250, drawMaxAnswer: func(r *rand.Rand) float64 { return min(180*math.Exp(0.8*r.NormFloat64()), 1024) }},
	{priority: template.PriorityLong, fraction: 0.08, promptTokens: 1500, drawMaxAnswer: func(r *rand.Rand) float64 { return min(600*math.Pow(1-r.Float64(), -1/1.5), 4096) }},
}

func drawClass(r *rand.Rand) class {
	left := r.Float64()
	for _, c := range classes {
		if left < c.fraction {
			return c
		}
		left -= c.fraction
	}
	return classes[len(classes)-1]
}
