package config

import (
	"strings"

	"cardamompoint.example/cardamompoint/router/source"
)

// Unit is a group of documents that is accepted or refused as a whole: a
// workspace's template with its parameter values, or one other document. Its
// documents always belong to one state that the platform has had, so that the
// unit with the higher version is the later state.
type Unit struct {
	// Name names the unit.
	Name string `json:"n"`
	// Newest are the newest documents.
	Newest []source.Value `json:"d"`
	// Accepted are the documents in force if the newest were refused.
	Accepted []source.Value `json:"a,omitempty"`
}

// Version is the version of the newest documents.
func (u Unit) Version() int64 {
	return version(u.Newest)
}

// unknownPrefix keeps documents of unknown kinds apart from workspaces.
const unknownPrefix = "unknown/"

// UnitName returns the name of the unit that the document at key belongs to.
func UnitName(key string) string {
	kind, name := SplitKey(key)
	switch kind {
	case KindTemplate, KindParameters:
		return workspacePrefix + name
	case KindModel:
		return key
	}
	return unknownPrefix + key
}

func workspaceOf(unit string) (string, bool) {
	return strings.CutPrefix(unit, workspacePrefix)
}

// version returns the highest version of documents.
func version(documents []source.Value) int64 {
	var highest int64
	for _, document := range documents {
		highest = max(highest, document.Version)
	}
	return highest
}

func find(documents []source.Value, key string) source.Value {
	for _, document := range documents {
		if document.Key == key {
			return document
		}
	}
	return source.Value{}
}

// merge returns documents with the newer ones of others, and whether there
// were any. It changes neither slice.
func merge(documents, others []source.Value) ([]source.Value, bool) {
	merged := append([]source.Value(nil), documents...)
	fresh := false
	for _, other := range others {
		at := indexOf(merged, other.Key)
		if at < 0 {
			merged = append(merged, other)
			fresh = true
			continue
		}
		if other.Version > merged[at].Version {
			merged[at] = other
			fresh = true
		}
	}
	return merged, fresh
}

func indexOf(documents []source.Value, key string) int {
	for i, document := range documents {
		if document.Key == key {
			return i
		}
	}
	return -1
}

// Bytes is the size of the unit's documents, in bytes.
func (u Unit) Bytes() int {
	total := 0
	for _, documents := range [][]source.Value{u.Newest, u.Accepted} {
		for _, document := range documents {
			total += len(document.Key) + len(document.Data)
		}
	}
	return total
}
