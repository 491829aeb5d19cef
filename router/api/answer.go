package api

// ObjectCompletion and ObjectChunk are the values of the field "object".
const (
	ObjectCompletion = "chat.completion"
	ObjectChunk      = "chat.completion.chunk"
)

// Started is the first event of a stream, named "start". It comes again when
// the answer goes on at another engine.
type Started struct {
	// ID is the request id.
	ID string `json:"id"`
	// Stream resumes the answer at any router.
	Stream string `json:"stream"`
	// Model is the model that answers.
	Model string `json:"model"`
	// Engine is the engine that answers.
	Engine string `json:"engine"`
}

// Chunk is an event with one token. The event's id is the token's offset.
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

// Delta is the text that a Chunk adds.
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

// Usage counts tokens.
type Usage struct {
	// PromptTokens is the length of the prompt.
	PromptTokens int `json:"prompt_tokens"`
	// CompletionTokens is the length of the answer.
	CompletionTokens int `json:"completion_tokens"`
	// ReusedTokens is the part of the prompt whose context was in the cache.
	ReusedTokens int `json:"reused_tokens"`
}

// Finished is the event "finish", which follows the last token.
type Finished struct {
	// ID is the request id.
	ID string `json:"id"`
	// Usage counts tokens.
	Usage Usage `json:"usage"`
	// Engine is the engine that finished the answer.
	Engine string `json:"engine"`
	// Hint may be echoed with the chat's next request.
	Hint string `json:"hint"`
}

// Answer is the body of an answer without streaming.
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
