package template

import (
	"testing"

	"cardamompoint.example/cardamompoint/code"
)

const sampleTemplate = `{
  "parameters": {
    "tokens": {"type": "integer", "default": 64, "minimum": 1, "maximum": 100},
    "model": {"type": "string", "default": "small", "values": ["small", "large"]}
  },
  "completion": {"models": [{"model": {"parameter": "model"}}], "max_tokens": {"parameter": "tokens"}},
  "routes": [
    {"method": "POST", "path": "/orders/{order}/deposits", "service": "booking", "idempotent": false},
    {"method": "GET", "path": "/orders", "service": "booking", "idempotent": true}
  ]
}`

func TestCompileAppliesDefaultsAndValues(t *testing.T) {
	rules, err := Compile("w", []byte(sampleTemplate), nil)
	if err != nil {
		t.Fatal(err)
	}
	completion := rules.Completion
	if completion.MaxTokens != 64 || completion.Models[0].Model != "small" || completion.Models[0].Weight != 1 {
		t.Errorf("defaults: %+v", completion)
	}
	rules, err = Compile("w", []byte(sampleTemplate), []byte(`{"tokens": 7, "model": "large"}`))
	if err != nil {
		t.Fatal(err)
	}
	if rules.Completion.MaxTokens != 7 || rules.Completion.Models[0].Model != "large" {
		t.Errorf("values: %+v", rules.Completion)
	}
}

func TestCompileNamesThePathOfAFault(t *testing.T) {
	cases := []struct{ template, values, path string }{
		{`[]`, ``, "$"},
		{`{"completion": {}}`, ``, "$.completion"},
		{`{"completion": {"models": [{"model": "m"}], "max_tokens": 0}}`, ``, "$.completion.max_tokens"},
		{`{"completion": {"models": [{"model": "m", "weight": -1}]}}`, ``, "$.completion.models.0.weight"},
		{`{"completion": {"models": [{"model": {"parameter": "x"}}]}}`, ``, "$.completion.models[0].model"},
		{`{"parameters": {"x": {"type": "integer", "default": "1"}}, "completion": {}}`, ``, "$.parameters.x.default"},
		{sampleTemplate, `{"tokens": 101}`, "parameters: $.tokens"},
		{sampleTemplate, `{"tokens": 1.5}`, "parameters: $.tokens"},
		{sampleTemplate, `{"model": "medium"}`, "parameters: $.model"},
		{sampleTemplate, `{"other": 1}`, "parameters: $.other"},
		{sampleTemplate, `[1]`, "parameters: $"},
	}
	for _, c := range cases {
		_, err := Compile("w", []byte(c.template), []byte(c.values))
		if !code.Is(err, code.InvalidTemplate) || code.Of(err).Path != c.path {
			t.Errorf("%s with %s: got %v", c.template, c.values, err)
		}
	}
}

func TestMatch(t *testing.T) {
	rules, err := Compile("w", []byte(sampleTemplate), nil)
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		method, path string
		found        bool
	}{
		{"POST", "/orders/17/deposits", true},
		{"POST", "/orders//deposits", false},
		{"GET", "/orders/17/deposits", false},
		{"GET", "/orders", true},
		{"GET", "/orders/", false},
	}
	for _, c := range cases {
		if _, found := rules.Match(c.method, c.path); found != c.found {
			t.Errorf("%s %s: got %t", c.method, c.path, found)
		}
	}
}

// FuzzCompile checks that rules which compile always have a model.
func FuzzCompile(f *testing.F) {
	f.Add([]byte(sampleTemplate), []byte(`{"tokens": 7}`))
	f.Add([]byte(`{"completion": {"models": [{"model": {"parameter": 1}}]}}`), []byte(`{}`))
	f.Fuzz(func(t *testing.T, rawTemplate, rawValues []byte) {
		rules, err := Compile("w", rawTemplate, rawValues)
		if err == nil && len(rules.Completion.Models) == 0 {
			t.Error("accepted rules without a model")
		}
	})
}
