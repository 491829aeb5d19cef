package template

import (
	"bytes"
	_ "embed"
	"errors"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"cardamompoint.example/cardamompoint/code"
)

//go:embed schema.json
var schemaJSON []byte

// schema is compiled on first use, since gateways never need it.
var schema = sync.OnceValue(compileSchema)

func compileSchema() *jsonschema.Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("template.json", document); err != nil {
		panic(err)
	}
	return compiler.MustCompile("template.json")
}

// checkSchema returns an InvalidTemplate error with the path of the first schema
// violation, or nil.
func checkSchema(document any) error {
	err := schema().Validate(document)
	if err == nil {
		return nil
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return code.Wrap(err, code.InvalidTemplate, "the template can't be validated")
	}
	leaf := deepestCause(invalid)
	path := "$"
	if len(leaf.InstanceLocation) > 0 {
		path += "." + strings.Join(leaf.InstanceLocation, ".")
	}
	lines := strings.Split(leaf.Error(), "\n")
	last := strings.TrimLeft(lines[len(lines)-1], "- ")
	_, text, _ := strings.Cut(last, "': ")
	return code.New(code.InvalidTemplate, "%s", text).At(path)
}

// deepestCause returns the first leaf of the tree of causes, which has the most
// specific message.
func deepestCause(invalid *jsonschema.ValidationError) *jsonschema.ValidationError {
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	return invalid
}
