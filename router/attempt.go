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
func (p attempt) id(j *job) stream.ID {
	return stream.ID{
		RequestID: j.work.RequestID,
		StreamID:  p.streamID,
		Workspace: j.work.Workspace,
		Engine:    p.engine,
		Home:      p.home,
		Model:     j.work.Model,
		MaxTokens: j.work.MaxTokens,
	}
}

// key names the stream.
func (p attempt) key(j *job) streamKey {
	return streamKey{Engine: p.engine, RequestID: j.work.RequestID, StreamID: p.streamID}
}
