package template

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"cardamompoint.example/cardamompoint/code"
)

// Defaults of values that a template may omit.
const (
	defaultMaxTokens = 512
	defaultShare     = 1.0
	defaultWeight    = 1.0
)

// Compile resolves a published template with the published parameter values, which
// may be nil, and returns the rules. Errors carry code.InvalidTemplate and the path
// of the invalid value. It is safe for concurrent use.
func Compile(workspace string, rawTemplate, rawValues []byte) (*Rules, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(rawTemplate))
	if err != nil {
		return nil, code.Wrap(err, code.InvalidTemplate, "the template is not JSON").At("$")
	}
	object, ok := document.(map[string]any)
	if !ok {
		return nil, code.New(code.InvalidTemplate, "the template is not an object").At("$")
	}
	declared, err := parseParameters(object)
	if err != nil {
		return nil, err
	}
	values, err := effectiveValues(declared, rawValues)
	if err != nil {
		return nil, err
	}
	resolved, err := resolveTemplate(object, values)
	if err != nil {
		return nil, err
	}
	if err := checkSchema(resolved); err != nil {
		return nil, err
	}
	return decodeRules(workspace, resolved)
}

// resolveTemplate returns a template with all parameter references replaced, except
// in the declarations of the parameters themselves.
func resolveTemplate(object map[string]any, values map[string]any) (map[string]any, error) {
	resolved := make(map[string]any, len(object))
	for key, value := range object {
		if key == "parameters" {
			resolved[key] = value
			continue
		}
		replaced, err := resolveValue(value, values, "$."+key)
		if err != nil {
			return nil, err
		}
		resolved[key] = replaced
	}
	return resolved, nil
}

// resolveValue returns value with all parameter references in it replaced.
func resolveValue(value any, values map[string]any, path string) (any, error) {
	switch typed := value.(type) {
	case map[string]any:
		if name, ok := parameterReference(typed); ok {
			return parameterValue(values, name, path)
		}
		resolved := make(map[string]any, len(typed))
		for key, inner := range typed {
			replaced, err := resolveValue(inner, values, path+"."+key)
			if err != nil {
				return nil, err
			}
			resolved[key] = replaced
		}
		return resolved, nil
	case []any:
		resolved := make([]any, len(typed))
		for i, inner := range typed {
			replaced, err := resolveValue(inner, values, path+"["+strconv.Itoa(i)+"]")
			if err != nil {
				return nil, err
			}
			resolved[i] = replaced
		}
		return resolved, nil
	}
	return value, nil
}

// parameterReference returns the parameter that object refers to, and whether
// object is a reference.
func parameterReference(object map[string]any) (string, bool) {
	if len(object) != 1 {
		return "", false
	}
	name, ok := object["parameter"].(string)
	return name, ok
}

// parameterValue returns the value of a parameter, or an error for path if it is
// not declared.
func parameterValue(values map[string]any, name, path string) (any, error) {
	value, ok := values[name]
	if !ok {
		return nil, code.New(code.InvalidTemplate, "the parameter %q is not declared", name).At(path)
	}
	return value, nil
}

// decodeRules returns the rules of a resolved template, with defaults applied.
func decodeRules(workspace string, resolved map[string]any) (*Rules, error) {
	delete(resolved, "parameters")
	raw, err := json.Marshal(resolved)
	if err != nil {
		return nil, code.Wrap(err, code.InvalidTemplate, "the template can't be encoded")
	}
	rules := &Rules{Workspace: workspace}
	if err := json.Unmarshal(raw, rules); err != nil {
		return nil, code.Wrap(err, code.InvalidTemplate, "the template can't be decoded")
	}
	applyDefaults(&rules.Completion, resolved)
	return rules, nil
}

// applyDefaults sets the values that the template omits. resolved is needed to
// distinguish an omitted weight from a weight of 0.
func applyDefaults(completion *Completion, resolved map[string]any) {
	if completion.MaxTokens == 0 {
		completion.MaxTokens = defaultMaxTokens
	}
	if completion.Priority == "" {
		completion.Priority = PriorityChat
	}
	if completion.Share == 0 {
		completion.Share = defaultShare
	}
	models := resolved["completion"].(map[string]any)["models"].([]any)
	for i := range completion.Models {
		if _, given := models[i].(map[string]any)["weight"]; !given {
			completion.Models[i].Weight = defaultWeight
		}
	}
}
