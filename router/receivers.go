package router

import (
	"net/http"
	"strings"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
	"cardamompoint.example/cardamompoint/router/api"
	"cardamompoint.example/cardamompoint/router/endpoint"
	"cardamompoint.example/cardamompoint/stream"
)

// streamReceiver writes an answer as server-sent events.
type streamReceiver struct {
	router *Router
	job    *job
	w      http.ResponseWriter
	events *stream.Writer
}

func (s *streamReceiver) started(at attempt) error {
	if s.events == nil {
		s.events = stream.NewWriter(s.w, milliseconds(s.router.settings.Timing.StallMS))
	}
	return s.events.WriteEvent("start", -1, api.StartEvent{
		ID:     s.job.work.RequestID,
		Stream: at.id(s.job).Seal(s.router.settings.Secret),
		Model:  s.job.work.Model,
		Engine: at.engine,
	})
}

func (s *streamReceiver) alive() error {
	if s.events == nil {
		return nil
	}
	return s.events.WriteKeepAlive()
}

func (s *streamReceiver) resumable() bool { return true }

func (s *streamReceiver) token(line endpoint.Line) error {
	return s.events.WriteEvent("", line.Offset, api.NewChunk(line.RequestID, line.Text))
}

func (s *streamReceiver) finished(final endpoint.Final) error {
	s.router.metrics.AddTokens(final.Tokens, final.ReusedTokens)
	work := s.job.work
	err := s.events.WriteEvent("finish", -1, api.FinishEvent{
		ID:     work.RequestID,
		Usage:  usage(final),
		Engine: final.Engine,
		Hint:   s.router.hint(work, final.Engine),
	})
	if err != nil {
		return err
	}
	return s.events.Close()
}

// fail ends the answer with an error: as an event if the stream has started,
// otherwise as an HTTP error.
func (s *streamReceiver) fail(err *code.Error) {
	if s.events == nil {
		s.router.writeError(s.w, err)
		return
	}
	s.router.metrics.CountResult(err.Code)
	s.events.WriteEvent("error", -1, jsonhttp.ErrorBody{Error: err})
}

// bufferedReceiver collects an answer in memory.
type bufferedReceiver struct {
	text  strings.Builder
	final endpoint.Final
}

func (c *bufferedReceiver) started(attempt) error { return nil }

func (c *bufferedReceiver) alive() error { return nil }

func (c *bufferedReceiver) resumable() bool { return false }

func (c *bufferedReceiver) token(line endpoint.Line) error {
	c.text.WriteString(line.Text)
	return nil
}

func (c *bufferedReceiver) finished(final endpoint.Final) error {
	c.final = final
	return nil
}

// answer returns the response for the caller.
func (c *bufferedReceiver) answer(r *Router, j *job) api.Answer {
	return api.Answer{
		ID:     j.work.RequestID,
		Object: api.ObjectCompletion,
		Model:  j.work.Model,
		Choices: []api.AnswerChoice{{
			Message:      api.Message{Role: api.RoleAssistant, Content: c.text.String()},
			FinishReason: "stop",
		}},
		Usage:  usage(c.final),
		Engine: c.final.Engine,
		Hint:   r.hint(j.work, c.final.Engine),
	}
}

func usage(final endpoint.Final) api.Usage {
	return api.Usage{
		PromptTokens:     final.PromptTokens,
		CompletionTokens: final.Tokens,
		ReusedTokens:     final.ReusedTokens,
	}
}

// hint returns the sealed hint that names the engine with the chat's context.
func (r *Router) hint(work endpoint.Work, engine string) string {
	return stream.Hint{Workspace: work.Workspace, Chat: work.Chat, Engine: engine}.Seal(r.settings.Secret)
}
