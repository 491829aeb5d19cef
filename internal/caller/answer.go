package caller

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/router/api"
)

// Answer is a streamed answer as far as it has been received.
type Answer struct {
	// ID is the request ID.
	ID string
	// Stream is the stream ID with which the answer can be resumed.
	Stream string
	// Tokens are the received tokens in order.
	Tokens []string
	// Finished is the finish event; nil while the answer is incomplete.
	Finished *api.FinishEvent
	// Engines are the engines that produced parts of the answer, in order.
	Engines []string
	// OnToken, if not nil, is called after each token.
	OnToken func()
}

// Text returns the concatenated tokens.
func (a *Answer) Text() string {
	return strings.Join(a.Tokens, "")
}

// nextOffset returns the offset of the next token, which is its event ID.
func (a *Answer) nextOffset() string {
	return strconv.Itoa(len(a.Tokens))
}

// maxEventBytes bounds a line of an event.
const maxEventBytes = 1 << 20

// event is one server-sent event.
type event struct {
	name, id, data string
}

// ReadEvents reads events from body and adds them to the answer until the final one. It
// returns an error if the stream ends before that.
func (a *Answer) ReadEvents(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	var current event
	for scanner.Scan() {
		field, value, _ := strings.Cut(scanner.Text(), ": ")
		if field == "" && value != "" {
			continue
		}
		switch field {
		case "event":
			current.name = value
		case "id":
			current.id = value
		case "data":
			current.data = value
		case "":
			if current.data == "" {
				continue
			}
			done, err := a.apply(current)
			if done || err != nil {
				return err
			}
			current = event{}
		}
	}
	return eris.New("stream ended without its final event")
}

// apply adds one event to the answer and reports whether it is the final one.
func (a *Answer) apply(e event) (bool, error) {
	switch {
	case e.data == "[DONE]":
		return true, nil
	case e.name == "start":
		return false, a.applyStart(e.data)
	case e.name == "finish":
		a.Finished = &api.FinishEvent{}
		return false, json.Unmarshal([]byte(e.data), a.Finished)
	case e.name == "error":
		var body jsonhttp.ErrorBody
		if err := json.Unmarshal([]byte(e.data), &body); err != nil {
			return false, err
		}
		return true, body.Error
	}
	return false, a.applyChunk(e)
}

// applyStart adds a start event.
func (a *Answer) applyStart(data string) error {
	var started api.StartEvent
	if err := json.Unmarshal([]byte(data), &started); err != nil {
		return err
	}
	a.ID = started.ID
	a.Stream = started.Stream
	a.Engines = append(a.Engines, started.Engine)
	return nil
}

// applyChunk adds a token. A token out of order is an error, because none may be duplicated
// or lost.
func (a *Answer) applyChunk(e event) error {
	if e.id != a.nextOffset() {
		return eris.Errorf("got token %s, want token %s", e.id, a.nextOffset())
	}
	var chunk api.Chunk
	if err := json.Unmarshal([]byte(e.data), &chunk); err != nil {
		return err
	}
	if chunk.ID != a.ID {
		return eris.Errorf("got a token of request %s", chunk.ID)
	}
	a.Tokens = append(a.Tokens, chunk.Choices[0].Delta.Content)
	if a.OnToken != nil {
		a.OnToken()
	}
	return nil
}
