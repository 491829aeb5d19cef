package api

// ObjectCompletion and ObjectChunk are the values of the field "object" in an
// Answer and in a Chunk.
const (
	ObjectCompletion = "chat.completion"
	ObjectChunk      = "chat.completion.chunk"
)

// StartEvent is the data of the event "start", the first one of a stream. It is
// sent again when the answer continues at another engine.
type StartEvent struct {
	// ID is the request id.
	ID string `json:"id"`
	// Stream is the id with which the answer can be resumed at any router.
	Stream string `json:"stream"`
	// Model is the model that generates the answer.
	Model string `json:"model"`
	// Engine is the engine that generates the answer.
	Engine string `json:"engine"`
}

// Chunk is the data of an event with one token. The event's id is the token's
// offset in the answer.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Choices []ChunkChoice `json:"choices"`
}

// ChunkChoice is the only choice of a Chunk.
type ChunkChoice struct {
	Index int   `json:"index"`
	Delta Delta `json:"delta"`
}

// Delta is the text that a Chunk adds to the answer.
type Delta struct {
	Content string `json:"content"`
}

// NewChunk returns a Chunk with one token.
func NewChunk(id, text string) Chunk {
	return Chunk{
		ID:      id,
		Object:  ObjectChunk,
		Choices: []ChunkChoice{{Delta: Delta{Content: text}}},
	}
}

// Usage is the token usage of a request.
type Usage struct {
	// PromptTokens is the length of the prompt, in tokens.
	PromptTokens int `json:"prompt_tokens"`
	// CompletionTokens is the length of the answer, in tokens.
	CompletionTokens int `json:"completion_tokens"`
	// ReusedTokens is the number of prompt tokens whose context was in the cache.
	ReusedTokens int `json:"reused_tokens"`
}

// FinishEvent is the data of the event "finish", which follows the last token.
type FinishEvent struct {
	// ID is the request id.
	ID string `json:"id"`
	// Usage is the token usage of the request.
	Usage Usage `json:"usage"`
	// Engine is the engine that finished the answer.
	Engine string `json:"engine"`
	// Hint helps routers to find the chat's context. The caller may echo it in the
	// chat's next request.
	Hint string `json:"hint"`
}

// Answer is the body of a non-streaming answer.
type Answer struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Model   string         `json:"model"`
	Choices []AnswerChoice `json:"choices"`
	Usage   Usage          `json:"usage"`
	Engine  string         `json:"engine"`
	Hint    string         `json:"hint"`
}

// AnswerChoice is the only choice of an Answer.
type AnswerChoice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}
