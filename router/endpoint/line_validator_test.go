package endpoint

import (
	"testing"

	"pgregory.net/rapid"

	"cardamompoint.example/cardamompoint/code"
)

// TestValidatorDeliversEachTokenOnce checks that each token is delivered exactly
// once and in order, whatever lines are duplicated, missing, out of order or of
// another request or stream.
func TestValidatorDeliversEachTokenOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := rapid.IntRange(0, 5).Draw(t, "start")
		validator := LineValidator{RequestID: "r", StreamID: "s", NextOffset: start}
		next := start
		for range rapid.IntRange(0, 60).Draw(t, "lines") {
			line := Line{
				RequestID: rapid.SampledFrom([]string{"r", "r", "r", "r", "other"}).Draw(t, "request"),
				StreamID:  rapid.SampledFrom([]string{"s", "s", "s", "s", "other"}).Draw(t, "stream"),
				Offset:    rapid.IntRange(max(0, next-2), next+1).Draw(t, "offset"),
				Text:      rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "text"),
			}
			deliver, err := validator.Check(line)
			foreign := line.RequestID != "r" || line.StreamID != "s"
			gap := line.Text != "" && line.Offset > next
			if (foreign || gap) != (err != nil) {
				t.Fatalf("%+v at %d: %v", line, next, err)
			}
			if err != nil {
				if deliver || !code.Is(err, code.EndpointFault) {
					t.Fatalf("%+v at %d is delivered, or has the wrong error: %v", line, next, err)
				}
				continue
			}
			if line.Text == "" {
				continue
			}
			if deliver != (line.Offset == next) {
				t.Fatalf("%+v at %d: delivered %t", line, next, deliver)
			}
			if deliver {
				next++
			}
		}
		for _, tokens := range []int{next - 1, next, next + 1} {
			_, err := validator.Check(Line{RequestID: "r", StreamID: "s", Final: &Final{Tokens: tokens}})
			if (err == nil) != (tokens == next) {
				t.Fatalf("a final line with %d tokens after %d: %v", tokens, next, err)
			}
		}
	})
}
