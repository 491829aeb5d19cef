package emulator

import "time"

// Kind describes requests of one kind.
type Kind struct {
	Name string
	// Priority is the priority at engines; 0 is the most urgent.
	Priority int
	// Value is the value of an answer within the objective, LateValue that of a later one.
	Value     float64
	LateValue float64
	// Rate is the number of requests per second and engine at a Load of 1.
	Rate float64
	// RootTokens is the size of the prompt part that all requests of the kind share,
	// SubjectTokens that of the part that requests of one subject share, and UniqueTokens
	// the mean size of the part that only one request has.
	RootTokens    int
	SubjectTokens int
	UniqueTokens  int
	// Subjects is the number of subjects per engine.
	Subjects int
	// AnswerTokens is the mean size of the answer.
	AnswerTokens int
	// Objective is the time-to-first-token objective, Timeout the time after which the
	// caller leaves.
	Objective time.Duration
	Timeout   time.Duration
}

// Kinds returns the kinds of requests, the most urgent first: one with long prompts and a
// high value, chats, and short requests that are not urgent.
func Kinds() []Kind {
	return []Kind{
		{Name: "roster", Priority: 0, Value: 5, Rate: 4, RootTokens: 2000, SubjectTokens: 8500, UniqueTokens: 1300, Subjects: 6, AnswerTokens: 380, Objective: 800 * time.Millisecond, Timeout: 15 * time.Second},
		{Name: "chat", Priority: 1, Value: 1, Rate: 6, RootTokens: 500, SubjectTokens: 200, UniqueTokens: 130, Subjects: 20, AnswerTokens: 290, Objective: 800 * time.Millisecond, Timeout: 15 * time.Second},
		{Name: "tag", Priority: 2, Value: 0.4, Rate: 6, RootTokens: 1500, SubjectTokens: 540, UniqueTokens: 360, Subjects: 4, AnswerTokens: 25, Objective: 1500 * time.Millisecond, Timeout: 3 * time.Second},
	}
}

// scarceKinds returns the request kinds that compete for capacity in the first deployment of
// docs/SCARCE-CAPACITY.md, the most urgent first.
func scarceKinds() []Kind {
	return []Kind{
		{Name: "chat", Priority: 0, Value: 3.4, LateValue: 0.42, Rate: 8, RootTokens: 500, SubjectTokens: 199, UniqueTokens: 130, Subjects: 20, AnswerTokens: 290, Objective: 500 * time.Millisecond, Timeout: 12 * time.Second},
		{Name: "tag", Priority: 1, Value: 0.45, LateValue: 0.14, Rate: 6, RootTokens: 1500, SubjectTokens: 541, UniqueTokens: 360, Subjects: 4, AnswerTokens: 25, Objective: 500 * time.Millisecond, Timeout: 3 * time.Second},
		{Name: "plan", Priority: 2, Value: 2.1, LateValue: 0.92, Rate: 6, RootTokens: 2000, SubjectTokens: 8512, UniqueTokens: 1300, Subjects: 6, AnswerTokens: 380, Objective: 2 * time.Second, Timeout: 15 * time.Second},
	}
}
