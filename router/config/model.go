package config

import (
	"bytes"
	"encoding/json"

	"cardamompoint.example/cardamompoint/code"
)

// Model is the published declaration of one model.
type Model struct {
	// Name names the model. It is taken from the document's key.
	Name string `json:"-"`
	// Revision is the version of the declaration. It serves as fencing number.
	Revision int64 `json:"-"`
	// Group is the pool of engines that may serve the model.
	Group string `json:"group"`
	// Version is the version of the weights.
	Version string `json:"version"`
	// Adapters are loaded beside the model.
	Adapters []string `json:"adapters,omitempty"`
	// Role is the role of the engines that have the model loaded; empty leaves
	// the engines' own.
	Role string `json:"role,omitempty"`
	// Min is the least number of engines that have the model loaded. 0 means
	// all engines of the group.
	Min int `json:"min,omitempty"`
	// Max is the largest number of engines that have the model loaded. 0 means
	// all engines of the group.
	Max int `json:"max,omitempty"`
}

// ParseModel checks the declaration of a model. Errors carry code.InvalidDocument
// and the path of the fault.
func ParseModel(name string, revision int64, raw []byte) (Model, error) {
	var model Model
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&model); err != nil {
		return Model{}, code.Wrap(err, code.InvalidDocument, "the model can't be decoded").At("$")
	}
	if model.Group == "" {
		return Model{}, code.New(code.InvalidDocument, "the group is missing").At("$.group")
	}
	if model.Min < 0 {
		return Model{}, code.New(code.InvalidDocument, "%d is negative", model.Min).At("$.min")
	}
	if model.Max != 0 && model.Max < model.Min {
		return Model{}, code.New(code.InvalidDocument, "%d is below min %d", model.Max, model.Min).At("$.max")
	}
	model.Name = name
	model.Revision = revision
	return model, nil
}
