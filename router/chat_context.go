package router

import (
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/rank"
	"cardamompoint.example/cardamompoint/router/affinity"
	"cardamompoint.example/cardamompoint/router/balance"
)

// The bounds of what a router remembers of chats at the engines that it manages.
const (
	maxChatContexts = 1 << 17
	chatContextTTL  = 30 * time.Minute
)

// placeWork holds room for the work at an engine that this router manages, and
// notes where the chat's context will be. A chat whose context is expected at
// another engine is passed on; the errors carry code.ContextElsewhere and
// code.ContextUnknown.
func (r *Router) admitChatWork(order workOrder) (*balance.Reservation, error) {
	chat := chatKey(order.Work.Workspace, order.Work.Chat)
	now := time.Now()
	if refusal, passed := r.chatContexts.Check(order.Engine, chat, order.Lookup, now); passed {
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

// chatKey is the key of a chat in rankings and indexes.
func chatKey(workspace, chat string) uint64 {
	return rank.Key(workspace, chat)
}

func contextError(refusal affinity.Refusal) *code.Error {
	switch refusal {
	case affinity.RefusalContextUnknown:
		return code.New(code.ContextUnknown, "the home does not know the chat yet")
	case affinity.RefusalContextLeft:
		return code.New(code.ContextLeft, "the chat was refused here and is expected at another engine")
	}
	return code.New(code.ContextElsewhere, "the chat is expected at its next choice")
}

// refusalOf returns why a home did not admit a request.
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
