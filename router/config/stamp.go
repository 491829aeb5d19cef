package config

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Stamp names a state of one unit without its documents.
type Stamp struct {
	// Name names the unit.
	Name string `json:"n"`
	// Version is the version of the newest documents.
	Version int64 `json:"v"`
	// Refused tells that the newest documents are not in force.
	Refused bool `json:"r,omitempty"`
	// Accepted is the version of the documents in force if the newest were
	// refused; 0 if there are none.
	Accepted int64 `json:"a,omitempty"`
}

func (s Stamp) hash() uint32 {
	text := s.Name + "\x00" + strconv.FormatInt(s.Version, 36) + "." + strconv.FormatInt(s.Accepted, 36)
	if s.Refused {
		text += "r"
	}
	return uint32(xxhash.Sum64String(text))
}
