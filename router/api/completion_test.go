package api

import "testing"

func TestOnlyAnsweredChatsAreReturning(t *testing.T) {
	body := CompletionRequest{Messages: []Message{{Role: "system"}, {Role: "user"}}}
	if body.IsReturning() {
		t.Error("a chat without an answer is returning")
	}
	body.Messages = append(body.Messages, Message{Role: RoleAssistant}, Message{Role: "user"})
	if !body.IsReturning() {
		t.Error("a chat with an answer is not returning")
	}
}
