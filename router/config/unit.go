package config

import (
	"strings"

	"cardamompoint.example/cardamompoint/router/source"
)

// Unit is a set of documents that is accepted or refused as a whole: a workspace's
// template with its parameter values, or a single other document. Its documents
// always belong to one state that the platform had, so that the unit with the
// higher version is the later state.
type Unit struct {
	// Name is the unit's name.
	Name string `json:"n"`
	// Newest are the newest documents.
	Newest []source.Document `json:"d"`
	// Accepted are the documents in force if the newest were refused.
	Accepted []source.Document `json:"a,omitempty"`
}

// Version returns the highest version of the newest documents.
func (u Unit) Version() int64 {
	return highestVersion(u.Newest)
}

// unknownPrefix separates the names of units of unknown kinds from those of
// workspaces.
const unknownPrefix = "unknown/"

// UnitName returns the name of the unit to which the document at key belongs.
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

// workspaceOf returns the workspace of a unit, and whether the unit is one of a
// workspace.
func workspaceOf(unit string) (string, bool) {
	return strings.CutPrefix(unit, workspacePrefix)
}

// highestVersion returns the highest version among documents; 0 if there are none.
func highestVersion(documents []source.Document) int64 {
	var highest int64
	for _, document := range documents {
		highest = max(highest, document.Version)
	}
	return highest
}

// findDocument returns the document at key, or the zero Document.
func findDocument(documents []source.Document, key string) source.Document {
	for _, document := range documents {
		if document.Key == key {
			return document
		}
	}
	return source.Document{}
}

// mergeDocuments returns documents with the new or newer ones of others, and
// whether there were any. It modifies neither slice.
func mergeDocuments(documents, others []source.Document) ([]source.Document, bool) {
	merged := append([]source.Document(nil), documents...)
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

// indexOf returns the index of the document at key, or -1.
func indexOf(documents []source.Document, key string) int {
	for i, document := range documents {
		if document.Key == key {
			return i
		}
	}
	return -1
}

// Bytes returns the total size of the unit's keys and documents.
func (u Unit) Bytes() int {
	total := 0
	for _, documents := range [][]source.Document{u.Newest, u.Accepted} {
		for _, document := range documents {
			total += len(document.Key) + len(document.Data)
		}
	}
	return total
}
