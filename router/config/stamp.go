package config

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Stamp describes the version of a unit without its documents.
type Stamp struct {
	// Name is the unit's name.
	Name string `json:"n"`
	// Version is the highest version among the newest documents.
	Version int64 `json:"v"`
	// Refused reports whether the newest documents were refused.
	Refused bool `json:"r,omitempty"`
	// Accepted is the version of the documents in force if the newest were refused;
	// 0 if there are none.
	Accepted int64 `json:"a,omitempty"`
}

// hash returns the stamp's contribution to a Digest.
func (s Stamp) hash() uint32 {
	text := s.Name + "\x00" + strconv.FormatInt(s.Version, 36) + "." + strconv.FormatInt(s.Accepted, 36)
	if s.Refused {
		text += "r"
	}
	return uint32(xxhash.Sum64String(text))
}
