package standin

import (
	"hash/fnv"
	"strconv"
	"strings"
)

// Tokens returns the complete response to a prompt as tokens. All engines generate the same
// response, so that a test can check each token.
func Tokens(workspace, chat, prompt string, maxTokens int) []string {
	seed := hash(workspace, chat, prompt)
	tokens := make([]string, maxTokens)
	for i := range tokens {
		tokens[i] = word(hash(strconv.FormatUint(seed, 10), strconv.Itoa(i))) + " "
	}
	return tokens
}

// PromptTokens returns the number of tokens of a prompt.
func PromptTokens(prompt string) int {
	return len(strings.Fields(prompt))
}

func hash(parts ...string) uint64 {
	sum := fnv.New64a()
	for _, part := range parts {
		sum.Write([]byte(part))
		sum.Write([]byte{0})
	}
	return sum.Sum64()
}

// word returns a pseudo-word of three syllables.
func word(n uint64) string {
	const syllables = "kalomirusetavinodepo"
	var text strings.Builder
	for range 3 {
		at := int(n%10) * 2
		text.WriteString(syllables[at : at+2])
		n /= 10
	}
	return text.String()
}
