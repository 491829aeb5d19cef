package configcheck_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"cardamompoint.example/cardamompoint/gateway/configcheck"
	"cardamompoint.example/cardamompoint/gateway/traffic"
	"cardamompoint.example/cardamompoint/platform"
)

// valid is a configuration without findings. The tests replace parts of it.
const valid = `{"version":3,"routes":[
{"name":"chat","hostname":"h","prefix":"/c/","kind":"streaming","timeoutMs":9000,"latencyGoalMs":500,"gapTargetMs":400,"service":"e","maxAttempts":2,"allowedRegions":["north"]},
{"name":"write","hostname":"h","prefix":"/w/","kind":"once","timeoutMs":1500,"latencyGoalMs":300,"gapTargetMs":4000,"trafficSplit":[{"service":"e","weight":0},{"service":"p","weight":1}],"maxAttempts":1}],
"services":[{"name":"e","coldStartS":3,"coldPerS":10},{"name":"p"}],
"limits":{"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"a","keys":["secret-1"],"allowedRegions":["north","south"]},{"name":"b","keys":["secret-2","secret-3"]}]}`

var settings = &traffic.Settings{Regions: map[string]string{"north-a": "north", "south-a": "south"}}

// decode decodes the valid configuration with replaced parts, given as pairs of old and new text.
func decode(t testing.TB, replacements ...string) *traffic.Configuration {
	t.Helper()
	for i := 0; i < len(replacements); i += 2 {
		if !strings.Contains(valid, replacements[i]) {
			t.Fatalf("the configuration has no %s", replacements[i])
		}
	}
	configuration, err := platform.DecodeConfiguration([]byte(strings.NewReplacer(replacements...).Replace(valid)))
	if err != nil {
		t.Fatal(err)
	}
	return configuration
}

// TestFindings guards against faults that are not found, findings at a wrong place, and findings in a valid configuration.
func TestFindings(t *testing.T) {
	for _, c := range []struct {
		old, new string
		want     []string
	}{
		{`"version":3`, `"version":3`, nil},
		{`"hostname":"h","prefix":"/c/"`, `"hostname":"H","prefix":"/w/"`, []string{`error $.routes[1].prefix`}},
		{`"hostname":"h","prefix":"/c/"`, `"hostname":"h:80","prefix":"/w/"`, []string{`error $.routes[0].hostname`, `error $.routes[1].prefix`}},
		{`"hostname":"h","prefix":"/c/"`, `"hostname":"[::1]","prefix":"/c/"`, nil},
		{`"hostname":"h","prefix":"/c/"`, `"prefix":"/c/"`, []string{`error $.routes[0].hostname`}},
		{`"/c/"`, `"c/"`, []string{`error $.routes[0].prefix`}},
		{`"/c/"`, `"/c"`, []string{`warning $.routes[0].prefix`}},
		{`"/c/"`, `""`, []string{`warning $.routes[0].prefix`}},
		{`"write"`, `"chat"`, []string{`warning $.routes[1].name`}},
		{`"weight":1`, `"weight":0`, []string{`error $.routes[1].trafficSplit`, `warning $.services[1]`}},
		{`"weight":0`, `"weight":-1`, []string{`error $.routes[1].trafficSplit`}},
		{`"service":"e","maxAttempts"`, `"service":"x","maxAttempts"`, []string{`warning $.routes[0]`, `warning $.services[0]`}},
		{`{"name":"p"}`, `{"name":"p"},{"name":"q"}`, []string{`warning $.services[2]`}},
		{`{"name":"p"}`, `{"name":"p"},{"name":"p"}`, []string{`error $.services[1]`}},
		{`"latencyGoalMs":500`, `"latencyGoalMs":9001`, []string{`warning $.routes[0].latencyGoalMs`}},
		{`"timeoutMs":9000,"latencyGoalMs":500`, `"latencyGoalMs":9001`, nil},
		{`"gapTargetMs":400,`, `"gapTargetMs":9001,`, []string{`warning $.routes[0].gapTargetMs`}},
		{`"maxAttempts":1`, `"maxAttempts":2`, []string{`warning $.routes[1].maxAttempts`}},
		{`"headerTimeoutMs":3000`, `"headerTimeoutMs":15001`, []string{`warning $.limits.headerTimeoutMs`}},
		{`"coldStartS":3,`, ``, []string{`warning $.services[0].coldPerS`}},
		{`,"coldPerS":10`, ``, []string{`warning $.services[0].coldStartS`}},
		{`["secret-1"]`, `[]`, []string{`warning $.tenants[0].keys`}},
		{`"secret-3"`, `"secret-1"`, []string{`error $.tenants[1].keys[1]`}},
		{`"secret-3"`, `"secret-2"`, nil},
		{`"secret-3"`, `""`, []string{`error $.tenants[1].keys[1]`}},
		{`"name":"b"`, `"name":"a"`, []string{`warning $.tenants[1].name`}},
		{`["north","south"]`, `["south"]`, []string{`warning $.routes[0].allowedRegions`}},
		{`["north"]}`, `["north"],"public":true}`, nil},
		{`["north"]}`, `["north","east"]}`, []string{`warning $.routes[0].allowedRegions`}},
		{`["north","south"]`, `["north","west"]`, []string{`warning $.tenants[0].allowedRegions`}},
	} {
		var got []string
		for _, finding := range configcheck.Check(decode(t, c.old, c.new), settings) {
			got = append(got, string(finding.Severity)+" "+finding.Path)
			if strings.Contains(finding.String(), "secret") {
				t.Errorf("%s: the finding shows a key: %s", c.new, finding)
			}
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s instead of %s: got %q, want %q", c.new, c.old, got, c.want)
		}
	}
}

// TestCompare guards against changes that are left out or shown with wrong values, and against keys in the output.
func TestCompare(t *testing.T) {
	next := decode(t, `"version":3`, `"version":4`, `"timeoutMs":9000`, `"timeoutMs":9500`, `"name":"write"`, `"name":"post"`,
		`"weight":1`, `"weight":2`, `"coldPerS":10`, `"coldPerS":12`, `"secret-3"`, `"secret-4"`, `"idleTimeoutMs":15000`, `"idleTimeoutMs":16000`)
	var got []string
	for _, difference := range configcheck.Compare(decode(t), next) {
		got = append(got, difference.String())
	}
	const fields = `hostname=h prefix=/w/ kind=at most once timeoutMs=1.5s latencyGoalMs=300ms gapTargetMs=4s priority=0 maxAttempts=1 trafficSplit=e:0,p:`
	want := []string{
		`changed: configuration version: 3 -> 4`,
		`changed: configuration idleTimeoutMs: 15s -> 16s`,
		`changed: route "chat" timeoutMs: 9s -> 9.5s`,
		`added: route "post": none -> ` + fields + `2`,
		`removed: route "write": ` + fields + `1 -> none`,
		`changed: service "e" coldPerS: 10 -> 12`,
		`changed: workspace "b" keys: 2 -> 2 (1 added, 1 removed)`,
	}
	if !slices.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if same := configcheck.Compare(next, next); len(same) > 0 {
		t.Errorf("the same configuration differs: %v", same)
	}
}

// BenchmarkCheck measures 2,000 routes without findings and with several findings each, as a gateway checks them.
func BenchmarkCheck(b *testing.B) {
	for _, name := range []string{"valid", "faulty"} {
		configuration := decode(b)
		configuration.Routes = nil
		for i := range 2000 {
			route := &traffic.Route{Name: fmt.Sprint("r-", i), Host: fmt.Sprintf("host-%d", i%20), Prefix: fmt.Sprintf("/path-%d/", i),
				Regions: []string{"north"}, TrafficSplit: []traffic.Share{{Service: "e", Weight: 9}, {Service: "p", Weight: 1}}}
			if name == "faulty" {
				route.Prefix, route.Regions, route.TrafficSplit = "path", []string{"west"}, route.TrafficSplit[:0]
			}
			configuration.Routes = append(configuration.Routes, route)
		}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				configcheck.CheckFirst(configuration, settings, 5)
			}
		})
	}
}
