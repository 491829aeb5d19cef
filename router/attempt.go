package router

import "cardamompoint.example/cardamompoint/stream"

// attempt tells where one try of a request runs.
type attempt struct {
	// engine is the engine's address.
	engine string
	// home is the router that counts the stream.
	home string
	// streamID is the engine's stream.
	streamID string
}

// id returns the stream's id for the caller.
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

// key names the stream.
func (a attempt) key(j *job) streamKey {
	return streamKey{Engine: a.engine, RequestID: j.work.RequestID, StreamID: a.streamID}
}
