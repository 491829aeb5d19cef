package router

import (
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/rank"
	"cardamompoint.example/cardamompoint/router/affinity"
	"cardamompoint.example/cardamompoint/router/balance"
)

// Limits of the index of chat contexts at the engines that this router manages.
const (
	maxChatContexts = 1 << 17
	chatContextTTL  = 30 * time.Minute
)

// admitChatWork reserves capacity for the work at an engine that this router
// manages, and records that the chat's context will be there. If the context is
// expected at another engine, the work is refused; such errors carry
// code.ContextElsewhere, code.ContextUnknown or code.ContextLeft.
func (r *Router) admitChatWork(order workOrder) (*balance.Reservation, error) {
	chat := chatKey(order.Work.Workspace, order.Work.Chat)
	now := time.Now()
	if refusal, declined := r.chatContexts.Check(order.Engine, chat, order.Lookup, now); declined {
		failure := contextError(refusal)
		if refusal == affinity.RefusalContextLeft {
			failure.ContextAgeMS = r.chatContexts.SinceAdmission(order.Engine, chat, now).Milliseconds()
		}
		return nil, failure
	}
	reservation, err := r.admitWork(order)
	if err == nil {
		r.chatContexts.Record(order.Engine, chat, affinity.ContextHere, now)
		return reservation, nil
	}
	r.chatContexts.RecordRefusal(order.Engine, chat, now)
	return nil, err
}

// chatKey returns the key of a chat in rankings and indexes.
func chatKey(workspace, chat string) uint64 {
	return rank.Key(workspace, chat)
}

// contextError returns the error for a refusal because of the chat's context.
func contextError(refusal affinity.Refusal) *code.Error {
	switch refusal {
	case affinity.RefusalContextUnknown:
		return code.New(code.ContextUnknown, "the engine's home has no record of the chat")
	case affinity.RefusalContextLeft:
		return code.New(code.ContextLeft, "the chat was refused here and its context is expected at another engine")
	}
	return code.New(code.ContextElsewhere, "the chat's context is expected at another candidate")
}

// refusalOf returns the reason for which a home did not admit a request.
func refusalOf(err error) affinity.Refusal {
	switch code.Of(err).Code {
	case code.ContextElsewhere:
		return affinity.RefusalContextElsewhere
	case code.ContextUnknown:
		return affinity.RefusalContextUnknown
	case code.ContextLeft:
		return affinity.RefusalContextLeft
	}
	return affinity.RefusalFull
}
