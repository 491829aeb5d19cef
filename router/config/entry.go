package config

import (
	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/source"
)

// entry is what the store keeps of one unit.
type entry struct {
	newest []source.Value
	// accepted are the documents in force; nil if none are.
	accepted []source.Value
	// refused is the fault of the newest documents, or nil.
	refused *code.Error
}

func (e *entry) stamp(name string) Stamp {
	stamp := Stamp{Name: name, Version: version(e.newest), Refused: e.refused != nil}
	if stamp.Refused {
		stamp.Accepted = version(e.accepted)
	}
	return stamp
}

func (e *entry) unit(name string) Unit {
	unit := Unit{Name: name, Newest: e.newest}
	if e.refused != nil {
		unit.Accepted = e.accepted
	}
	return unit
}

// refusedKey is the key under which the fault is shown: the document that
// changed last.
func (e *entry) refusedKey() string {
	last := e.newest[0]
	for _, document := range e.newest {
		if document.Version > last.Version {
			last = document
		}
	}
	return last.Key
}
