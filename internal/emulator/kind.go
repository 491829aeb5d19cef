package emulator

import "time"

// Kind describes requests of one kind. Sizes are in tokens.
type Kind struct {
	Name string
	// Priority is the rank at engines; 0 goes first.
	Priority int
	// Worth is what an answer in time is worth to the caller.
	Worth float64
	// Rate is the number of requests a second at a load of 1 for each engine.
	Rate float64
	// Root is the part that all requests of the kind share, Shared the part of one
	// subject, and Own the mean of what belongs to the request alone.
	Root   int
	Shared int
	Own    int
	// Subjects is the number of subjects for each engine.
	Subjects int
	// Answer is the mean size of the answer.
	Answer int
	// Objective is the time to the first token, Limit how long a caller waits.
	Objective time.Duration
	Limit     time.Duration
}

// Kinds returns the kinds of requests that are played: a long one of large worth, a
// chat, and a short one that is not urgent.
func Kinds() []Kind {
	return []Kind{
		{Name: "roster", Priority: 0, Worth: 5, Rate: 4, Root: 2000, Shared: 8500, Own: 1300, Subjects: 6, Answer: 380, Objective: 800 * time.Millisecond, Limit: 15 * time.Second},
		{Name: "chat", Priority: 1, Worth: 1, Rate: 6, Root: 500, Shared: 200, Own: 130, Subjects: 20, Answer: 290, Objective: 800 * time.Millisecond, Limit: 15 * time.Second},
		{Name: "tag", Priority: 2, Worth: 0.4, Rate: 6, Root: 1500, Shared: 540, Own: 360, Subjects: 4, Answer: 25, Objective: 1500 * time.Millisecond, Limit: 3 * time.Second},
	}
}
