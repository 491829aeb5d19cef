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

// Answer is a streamed answer as it came.
type Answer struct {
	// ID is the request id.
	ID string
	// Stream resumes the answer.
	Stream string
	// Tokens are the tokens in order.
	Tokens []string
	// Finished is the closing event; nil while the answer is not whole.
	Finished *api.FinishEvent
	// Engines are the engines that took part, in order.
	Engines []string
	// OnToken is called after each token, if it is set.
	OnToken func()
}

// Text returns the tokens as one text.
func (a *Answer) Text() string {
	return strings.Join(a.Tokens, "")
}

func (a *Answer) nextOffset() string {
	return strconv.Itoa(len(a.Tokens))
}

const maxEventBytes = 1 << 20

// event is one server-sent event.
type event struct {
	name, id, data string
}

// Read takes in events until the closing one.
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
			done, err := a.take(current)
			if done || err != nil {
				return err
			}
			current = event{}
		}
	}
	return eris.New("the stream ended without its closing event")
}

// take adds one event and reports whether it closes the answer.
func (a *Answer) take(e event) (bool, error) {
	switch {
	case e.data == "[DONE]":
		return true, nil
	case e.name == "start":
		return false, a.takeStart(e.data)
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
	return false, a.takeChunk(e)
}

func (a *Answer) takeStart(data string) error {
	var started api.StartEvent
	if err := json.Unmarshal([]byte(data), &started); err != nil {
		return err
	}
	a.ID = started.ID
	a.Stream = started.Stream
	a.Engines = append(a.Engines, started.Engine)
	return nil
}

// takeChunk adds a token. A token out of its place is an error: nothing may be
// doubled or lost.
func (a *Answer) takeChunk(e event) error {
	if e.id != a.nextOffset() {
		return eris.Errorf("token %s came in place of token %s", e.id, a.nextOffset())
	}
	var chunk api.Chunk
	if err := json.Unmarshal([]byte(e.data), &chunk); err != nil {
		return err
	}
	if chunk.ID != a.ID {
		return eris.Errorf("a token belongs to request %s", chunk.ID)
	}
	a.Tokens = append(a.Tokens, chunk.Choices[0].Delta.Content)
	if a.OnToken != nil {
		a.OnToken()
	}
	return nil
}
