package traffic

import (
	"strconv"
	"time"
)

// Request holds the properties of a caller's request that the gateway uses.
type Request struct {
	// ID is the caller's ID of this attempt at its request.
	ID string
	// Key is the caller's secret key, "" if none was sent.
	Key string
	// Timeout is how long the caller waits for the response; 0 if it is not specified.
	Timeout time.Duration
	// LastEventID is the ID of the last event that the caller received of a stream that it
	// resumes.
	LastEventID string
	// Prompt describes the prompt; it is empty for requests without one.
	Prompt Prompt
}

// Prompt describes the prompt of a request to a language model.
type Prompt struct {
	Model string
	// Tokens is the number of prompt tokens, MaxOutputTokens the limit of output tokens.
	Tokens          int
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate of the output tokens, 0 if there is none.
	ExpectedOutputTokens int
	// Parts holds the parts in the order of the prompt. The last one is specific to this
	// request; the ones before may be shared with other requests.
	Parts []Part
}

// SharedParts returns all parts but the last one.
func (p *Prompt) SharedParts() []Part {
	return p.Parts[:max(0, len(p.Parts)-1)]
}

// PartIDs returns the IDs of all parts.
func (p *Prompt) PartIDs() []uint64 {
	if len(p.Parts) == 0 {
		return nil
	}
	ids := make([]uint64, len(p.Parts))
	for i, part := range p.Parts {
		ids[i] = part.ID
	}
	return ids
}

// SharedTokens returns the number of tokens in all parts but the last one.
func (p *Prompt) SharedTokens() int {
	shared := 0
	for _, part := range p.SharedParts() {
		shared += part.Tokens
	}
	return shared
}

// Part is a section of a prompt that several requests may share.
type Part struct {
	// ID is the hash of the part, computed by the caller.
	ID uint64
	// Tokens is the number of its tokens.
	Tokens int
}

// FormatPartIDs returns IDs of prompt parts in hexadecimal, separated by commas.
func FormatPartIDs(parts []uint64) string {
	var text []byte
	for i, part := range parts {
		if i > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendUint(text, part, 16)
	}
	return string(text)
}
