package config

import (
	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/source"
)

// entry is the store's state of one unit.
type entry struct {
	// newest are the newest documents, whether or not they were accepted.
	newest []source.Document
	// accepted are the documents in force; nil if there are none.
	accepted []source.Document
	// refused is the error for which the newest documents were refused, or nil.
	refused *code.Error
}

// stamp returns the unit's stamp.
func (e *entry) stamp(name string) Stamp {
	stamp := Stamp{Name: name, Version: highestVersion(e.newest), Refused: e.refused != nil}
	if stamp.Refused {
		stamp.Accepted = highestVersion(e.accepted)
	}
	return stamp
}

// unit returns the unit as it is sent to peers.
func (e *entry) unit(name string) Unit {
	unit := Unit{Name: name, Newest: e.newest}
	if e.refused != nil {
		unit.Accepted = e.accepted
	}
	return unit
}

// refusedKey returns the key under which the error is reported: that of the
// document with the highest version.
func (e *entry) refusedKey() string {
	last := e.newest[0]
	for _, document := range e.newest {
		if document.Version > last.Version {
			last = document
		}
	}
	return last.Key
}
