package endpoint

import "cardamompoint.example/cardamompoint/code"

// LineValidator checks that the lines of an answer belong to one request and
// that its tokens follow one another without a gap. It is not safe for concurrent
// use.
type LineValidator struct {
	// RequestID is the request that all lines must carry.
	RequestID string
	// StreamID is the stream that all lines must carry. Empty allows any.
	StreamID string
	// NextOffset is the offset of the next token.
	NextOffset int
}

// Check reports whether to deliver line. Tokens that were already delivered are
// dropped. Check returns an EndpointFault error for a line of another request or
// stream, for a token after a gap and for a final line with a wrong length.
func (v *LineValidator) Check(line Line) (bool, error) {
	if line.RequestID != v.RequestID {
		return false, code.New(code.EndpointFault, "the answer contains a line of request %q", line.RequestID)
	}
	if v.StreamID != "" && line.StreamID != v.StreamID {
		return false, code.New(code.EndpointFault, "the answer contains a line of stream %q", line.StreamID)
	}
	if line.Error != nil {
		return true, nil
	}
	if line.Final != nil {
		return v.checkFinal(line.Final)
	}
	if line.Text == "" {
		return true, nil
	}
	if line.Offset < v.NextOffset {
		return false, nil
	}
	if line.Offset > v.NextOffset {
		return false, code.New(code.EndpointFault, "received token %d instead of token %d", line.Offset, v.NextOffset)
	}
	v.NextOffset++
	return true, nil
}

func (v *LineValidator) checkFinal(final *Final) (bool, error) {
	if final.Tokens != v.NextOffset {
		return false, code.New(code.EndpointFault, "the answer has %d tokens, received %d", final.Tokens, v.NextOffset)
	}
	return true, nil
}
