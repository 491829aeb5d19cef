package endpoint

import "cardamompoint.example/cardamompoint/code"

// LineGuard checks that the lines of an answer belong to one request and
// follow one another without a gap. It is not safe for concurrent use.
type LineValidator struct {
	// RequestID is the request that all lines must carry.
	RequestID string
	// StreamID is the stream that all lines must carry. Empty allows any.
	StreamID string
	// Next is the offset of the next token.
	NextOffset int
}

// Check reports whether line is to be delivered. A token that was delivered
// already is dropped. A line of another request or stream, or one after a gap,
// is an EndpointFault error.
func (g *LineValidator) Check(line Line) (bool, error) {
	if line.RequestID != g.RequestID {
		return false, code.New(code.EndpointFault, "a line belongs to request %q", line.RequestID)
	}
	if g.StreamID != "" && line.StreamID != g.StreamID {
		return false, code.New(code.EndpointFault, "a line belongs to stream %q", line.StreamID)
	}
	if line.Error != nil {
		return true, nil
	}
	if line.Final != nil {
		return g.checkFinal(line.Final)
	}
	if line.Text == "" {
		return true, nil
	}
	if line.Offset < g.NextOffset {
		return false, nil
	}
	if line.Offset > g.NextOffset {
		return false, code.New(code.EndpointFault, "token %d came in place of token %d", line.Offset, g.NextOffset)
	}
	g.NextOffset++
	return true, nil
}

func (g *LineValidator) checkFinal(final *Final) (bool, error) {
	if final.Tokens != g.NextOffset {
		return false, code.New(code.EndpointFault, "the answer has %d tokens, %d came", final.Tokens, g.NextOffset)
	}
	return true, nil
}
