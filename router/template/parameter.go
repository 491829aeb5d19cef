package template

import (
	"bytes"
	"encoding/json"
	"reflect"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"cardamompoint.example/cardamompoint/code"
)

// Parameter is the declaration of a template parameter.
type Parameter struct {
	// Type is integer, number, string or boolean.
	Type string `json:"type"`
	// Default is the value that applies if none is published.
	Default any `json:"default"`
	// Minimum is the lower bound of a number, if given.
	Minimum *float64 `json:"minimum,omitempty"`
	// Maximum is the upper bound of a number, if given.
	Maximum *float64 `json:"maximum,omitempty"`
	// Values are the allowed values, if given.
	Values []any `json:"values,omitempty"`
	// Description explains the parameter to operators. It has no effect.
	Description string `json:"description,omitempty"`
}

// parseParameters returns the parameters declared by a template document.
func parseParameters(document map[string]any) (map[string]Parameter, error) {
	declared := map[string]Parameter{}
	inner, ok := document["parameters"]
	if !ok {
		return declared, nil
	}
	raw, err := json.Marshal(inner)
	if err != nil {
		return nil, code.Wrap(err, code.InvalidTemplate, "the parameters can't be read").At("$.parameters")
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	if err := decoder.Decode(&declared); err != nil {
		return nil, code.Wrap(err, code.InvalidTemplate, "the parameters can't be decoded").At("$.parameters")
	}
	return declared, nil
}

// effectiveValues returns the published values of the declared parameters, and the
// defaults of the others.
func effectiveValues(declared map[string]Parameter, rawValues []byte) (map[string]any, error) {
	values := make(map[string]any, len(declared))
	for name, parameter := range declared {
		path := "$.parameters." + name + ".default"
		if err := parameter.check(parameter.Default, path); err != nil {
			return nil, err
		}
		values[name] = parameter.Default
	}
	if len(rawValues) == 0 {
		return values, nil
	}
	published, err := decodeValues(rawValues)
	if err != nil {
		return nil, err
	}
	for name, value := range published {
		parameter, ok := declared[name]
		if !ok {
			return nil, code.New(code.InvalidTemplate, "the parameter is not declared").At("parameters: $." + name)
		}
		if err := parameter.check(value, "parameters: $."+name); err != nil {
			return nil, err
		}
		values[name] = value
	}
	return values, nil
}

// decodeValues decodes published parameter values.
func decodeValues(raw []byte) (map[string]any, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return nil, code.Wrap(err, code.InvalidTemplate, "the parameter values are not JSON").At("parameters: $")
	}
	values, ok := document.(map[string]any)
	if !ok {
		return nil, code.New(code.InvalidTemplate, "the parameter values are not an object").At("parameters: $")
	}
	return values, nil
}

// check returns an error for path unless value has the parameter's type and is
// allowed.
func (p Parameter) check(value any, path string) error {
	if !p.hasType(value) {
		return code.New(code.InvalidTemplate, "the value is not of type %q", p.Type).At(path)
	}
	if number, ok := value.(json.Number); ok {
		if err := p.checkBounds(number, path); err != nil {
			return err
		}
	}
	if len(p.Values) == 0 {
		return nil
	}
	for _, allowed := range p.Values {
		if reflect.DeepEqual(allowed, value) {
			return nil
		}
	}
	return code.New(code.InvalidTemplate, "the value is not one of the allowed values").At(path)
}

// hasType reports whether value has the parameter's type.
func (p Parameter) hasType(value any) bool {
	switch typed := value.(type) {
	case json.Number:
		if p.Type == "integer" {
			_, err := typed.Int64()
			return err == nil
		}
		return p.Type == "number"
	case string:
		return p.Type == "string"
	case bool:
		return p.Type == "boolean"
	}
	return false
}

// checkBounds returns an error for path unless number is within the parameter's
// bounds.
func (p Parameter) checkBounds(number json.Number, path string) error {
	value, err := number.Float64()
	if err != nil {
		return code.Wrap(err, code.InvalidTemplate, "the value is not a number").At(path)
	}
	if p.Minimum != nil && value < *p.Minimum {
		return code.New(code.InvalidTemplate, "%v is below the minimum %v", value, *p.Minimum).At(path)
	}
	if p.Maximum != nil && value > *p.Maximum {
		return code.New(code.InvalidTemplate, "%v is above the maximum %v", value, *p.Maximum).At(path)
	}
	return nil
}
