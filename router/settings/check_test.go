package settings

import (
	"encoding/json"
	"testing"

	"cardamompoint.example/cardamompoint/code"
)

// valid returns valid settings of a router.
func valid() Router {
	router := Defaults()
	router.Name = "router-1"
	router.FailureDomain = "a"
	router.Callers = "127.0.0.1:7000"
	router.Peers = "127.0.0.1:7001"
	router.Operators = "127.0.0.1:7002"
	router.Platform = "127.0.0.9:7100"
	router.SecretFile = "secret.hex"
	return router
}

// TestCheckNamesThePath checks that an error carries the JSON path of the invalid
// field.
func TestCheckNamesThePath(t *testing.T) {
	cases := []struct {
		path   string
		change func(*Router)
	}{
		{"$.name", func(r *Router) { r.Name = "" }},
		{"$.failure_domain", func(r *Router) { r.FailureDomain = "" }},
		{"$.secret_file", func(r *Router) { r.SecretFile = "" }},
		{"$.callers", func(r *Router) { r.Callers = "router-1.example:7000" }},
		{"$.peers", func(r *Router) { r.Peers = "127.0.0.1" }},
		{"$.operators", func(r *Router) { r.Operators = r.Callers }},
		{"$.platform", func(r *Router) { r.Platform = "127.0.0.1:0" }},
		{"$.seeds[1]", func(r *Router) { r.Seeds = []string{"127.0.0.2:7001", "127.0.0.2:7001"} }},
		{"$.limits.load_multiple", func(r *Router) { r.Limits.LoadMultiple = 1 }},
		{"$.limits.retry_ratio", func(r *Router) { r.Limits.RetryRatio = 2 }},
		{"$.limits.records", func(r *Router) { r.Limits.Records = 0 }},
		{"$.timing.heartbeat_ms", func(r *Router) { r.Timing.HeartbeatMS = 1 }},
		{"$.timing.suspect_ms", func(r *Router) { r.Timing.SuspectMS = 1500 }},
	}
	for _, c := range cases {
		router := valid()
		c.change(&router)
		err := Check(&router)
		if !code.Is(err, code.InvalidSettings) || code.Of(err).Path != c.path {
			t.Errorf("%s: got %v", c.path, err)
		}
	}
}

func TestParseRejectsUnknownFieldsAndUnits(t *testing.T) {
	raw, err := json.Marshal(valid())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse(raw); err != nil {
		t.Errorf("valid settings: %v", err)
	}
	faults := map[string]string{
		`{"heartbeat": 1}`:                  "$.heartbeat",
		`{"timing": {"poll_ms": "5s"}}`:     "$.timing.poll_ms",
		`{"limits": {"engine_tokens": []}}`: "$.limits.engine_tokens",
	}
	for text, path := range faults {
		_, err := Parse([]byte(text))
		if !code.Is(err, code.InvalidSettings) || code.Of(err).Path != path {
			t.Errorf("%s: got %v", text, err)
		}
	}
}

func TestCheckFleetFindsDuplicates(t *testing.T) {
	one, two := valid(), valid()
	two.Callers, two.Peers, two.Operators = "127.0.0.2:7000", "127.0.0.2:7001", "127.0.0.2:7002"
	if err := CheckFleet([]*Router{&one, &two}); code.Of(err) == nil || code.Of(err).Message != `"router-1" is already used in ` {
		t.Errorf("same name: %v", err)
	}
	two.Name = "router-2"
	if err := CheckFleet([]*Router{&one, &two}); err != nil {
		t.Errorf("distinct settings: %v", err)
	}
}
