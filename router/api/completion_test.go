package api

import "testing"

func TestOnlyAnsweredChatsAreReturning(t *testing.T) {
	body := Completion{Messages: []Message{{Role: "system"}, {Role: "user"}}}
	if body.Returning() {
		t.Error("a chat without an answer is returning")
	}
	body.Messages = append(body.Messages, Message{Role: RoleAssistant}, Message{Role: "user"})
	if !body.Returning() {
		t.Error("a chat with an answer is not returning")
	}
}
