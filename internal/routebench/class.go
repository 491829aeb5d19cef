package routebench

import (
	"math"
	"math/rand/v2"

	"cardamompoint.example/cardamompoint/router/template"
)

// class is a kind of chat.
type class struct {
	// priority is the class that routers see.
	priority template.Priority
	// share is the part of the chats.
	share float64
	// prompt is the length of the first prompt, in tokens.
	prompt int
	// bound draws the longest answer, in tokens.
	bound func(*rand.Rand) float64
}

// The classes: tags, chat replies and long answers with a heavy tail.
var classes = []class{
	{priority: template.PriorityTag, share: 0.20, prompt: 60, bound: func(r *rand.Rand) float64 { return 16 + 16*r.Float64() }},
	{priority: template.PriorityChat, share: 0.72, prompt: 250, bound: func(r *rand.Rand) float64 { return min(180*math.Exp(0.8*r.NormFloat64()), 1024) }},
	{priority: template.PriorityLong, share: 0.08, prompt: 1500, bound: func(r *rand.Rand) float64 { return min(600*math.Pow(1-r.Float64(), -1/1.5), 4096) }},
}

func drawClass(r *rand.Rand) class {
	left := r.Float64()
	for _, c := range classes {
		if left < c.share {
			return c
		}
		left -= c.share
	}
	return classes[len(classes)-1]
}
