package router

import "cardamompoint.example/cardamompoint/router/hold"

import "cardamompoint.example/cardamompoint/stream"

// attempt identifies where one attempt of a request runs.
type attempt struct {
	// engine is the engine's address.
	engine string
	// home is the address of the router that accounts for the stream.
	home string
	// streamID identifies the stream at the engine.
	streamID string
}

// id returns the stream ID that the caller gets.
func (a attempt) id(j *job) stream.ID {
	return stream.ID{
		RequestID: j.work.RequestID,
		StreamID:  a.streamID,
		Workspace: j.work.Workspace,
		Engine:    a.engine,
		Home:      a.home,
		Model:     j.work.Model,
		MaxTokens: j.work.MaxTokens,
	}
}

// key returns the stream's key.
func (a attempt) key(j *job) hold.Key {
	return hold.Key{Engine: a.engine, RequestID: j.work.RequestID, StreamID: a.streamID}
}
