package config

import (
	"bytes"
	"encoding/json"

	"cardamompoint.example/cardamompoint/code"
)

// Model is the published declaration of a model.
type Model struct {
	// Name is the model's name, taken from the document's key.
	Name string `json:"-"`
	// Revision is the version of the declaration. The fencing tokens of orders to
	// engines rise with it.
	Revision int64 `json:"-"`
	// Group is the group of engines that may serve the model.
	Group string `json:"group"`
	// Version is the version of the weights.
	Version string `json:"version"`
	// Adapters are the adapters loaded with the model.
	Adapters []string `json:"adapters,omitempty"`
	// Role is the role of the engines that have the model loaded. If it is empty,
	// engines keep their own role.
	Role string `json:"role,omitempty"`
	// Min is the minimum number of engines that have the model loaded. 0 means all
	// engines of the group.
	Min int `json:"min,omitempty"`
	// Max is the maximum number of engines that have the model loaded. 0 means all
	// engines of the group.
	Max int `json:"max,omitempty"`
}

// ParseModel decodes and validates the declaration of a model. Errors carry
// code.InvalidDocument and the path of the invalid field.
func ParseModel(name string, revision int64, raw []byte) (Model, error) {
	var model Model
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&model); err != nil {
		return Model{}, code.Wrap(err, code.InvalidDocument, "the model document can't be decoded").At("$")
	}
	if model.Group == "" {
		return Model{}, code.New(code.InvalidDocument, "the group is missing").At("$.group")
	}
	if model.Min < 0 {
		return Model{}, code.New(code.InvalidDocument, "min is %d, which is negative", model.Min).At("$.min")
	}
	if model.Max != 0 && model.Max < model.Min {
		return Model{}, code.New(code.InvalidDocument, "max %d is less than min %d", model.Max, model.Min).At("$.max")
	}
	model.Name = name
	model.Revision = revision
	return model, nil
}
