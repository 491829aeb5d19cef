package once

import (
	"time"

	"github.com/google/uuid"

	"cardamompoint.example/cardamompoint/code"
)

// OwnKey is a key that a caller made: a UUID of version 7 (RFC 9562).
type CallerKey struct {
	// Workspace is whose key it is.
	Workspace string `json:"w"`
	// ID is the UUID in its usual form.
	ID string `json:"k"`
	// IssuedMS is the UUID's timestamp, in milliseconds since 1970 of the
	// caller's clock.
	IssuedMS int64 `json:"t"`
}

// uuidTextBytes is the length of a UUID's usual form.
const uuidTextBytes = 36

// ParseOwnKey returns the key in text. Errors carry code.InvalidKey.
func ParseCallerKey(workspace, text string) (CallerKey, error) {
	id, err := uuid.Parse(text)
	if err != nil || len(text) != uuidTextBytes {
		return CallerKey{}, code.New(code.InvalidKey, "the key is neither a ticket nor a UUID")
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return CallerKey{}, code.New(code.InvalidKey, "the key is a UUID of version %d, not 7", id.Version())
	}
	return CallerKey{Workspace: workspace, ID: id.String(), IssuedMS: issuedMS(id)}, nil
}

// issuedMS returns the first 48 bits, which are a timestamp in milliseconds.
func issuedMS(id uuid.UUID) int64 {
	var ms int64
	for _, octet := range id[:6] {
		ms = ms<<8 | int64(octet)
	}
	return ms
}

// Issued returns when the key was made.
func (k CallerKey) IssuedAt() time.Time {
	return time.UnixMilli(k.IssuedMS)
}

// Name returns a text that identifies the key among those of all workspaces.
func (k CallerKey) Name() string {
	return k.ID + "/" + k.Workspace
}
