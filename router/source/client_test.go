package source

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/fleettest"
)

// answeringPlatform returns a client of a platform that answers each call with body.
func answeringPlatform(t *testing.T, body string) *Client {
	t.Helper()
	return NewClient(fleettest.ServeBody(t, body), nil)
}

// nested returns an array of the given depth.
func nested(depth int) string {
	return strings.Repeat("[", depth) + strings.Repeat("]", depth)
}

// TestOddVMLeavesTheOthersInUse guards against a list of VMs that can't be followed while one entry is odd.
func TestOddVMLeavesTheOthersInUse(t *testing.T) {
	const sound = `{"address":"10.0.0.7:80","role":"engine","group":"g","failure_domain":"d","state":"live"}`
	deep := nested(20_000)
	for _, odd := range []string{
		strings.Replace(sound, "10.0.0.7:80", "10.0.0.7:99999", 1),
		strings.Replace(sound, "10.0.0.7:80", "10.0.0.7:0", 1),
		strings.Replace(sound, "10.0.0.7:80", "worker.example:80", 1),
		strings.Replace(sound, "10.0.0.7:80", "0.0.0.0:80", 1),
		strings.Replace(sound, "10.0.0.7:80", "[::]:80", 1),
		strings.Replace(sound, "10.0.0.7:80", "[fe80::1%eth0]:80", 1),
		strings.Replace(sound, "10.0.0.7:80", "255.255.255.255:80", 1),
		strings.Replace(sound, "10.0.0.7:80", "224.0.0.1:80", 1),
		strings.Replace(sound, `"10.0.0.7:80"`, `7`, 1),
		strings.Replace(sound, `"10.0.0.7:80"`, deep, 1),
		strings.Replace(sound, `"live"`, `"asleep"`, 1),
		strings.Replace(sound, `"engine"`, `"other"`, 1),
		strings.Replace(sound, `"state"`, `"capacity":1e400,"state"`, 1),
		strings.Replace(sound, `"state"`, `"capacity":1e308,"state"`, 1),
		strings.Replace(sound, `"state"`, `"capacity":-1,"state"`, 1),
		`"10.0.0.7:80"`, `7`, `null`, `{}`, deep,
	} {
		a, b := strings.Replace(sound, "0.7", "0.1", 1), strings.Replace(sound, "0.7", "0.2", 1)
		client := answeringPlatform(t, fmt.Sprintf(`{"version":9,"after":8,"vms":[%s,%s,%s]}`, a, odd, b))
		list, err := client.List(context.Background(), 8)
		if err != nil || list.Version != 9 || len(list.VMs) != 2 || list.VMs[1].Address != "10.0.0.2:80" {
			t.Errorf("%.70s: the list is %v, %v", odd, list, err)
		}
		applied := NewVersionedList()
		applied.Apply(VMList{Version: 8, VMs: []VM{{Address: "10.0.0.7:80", State: StateLive}}})
		applied.Apply(list)
		if strings.Contains(odd, `"address":"10.0.0.7:80"`) && len(applied.Full().VMs) != 2 {
			t.Errorf("%.70s: the VM is still used: %v", odd, applied.Full().VMs)
		}
	}
}

// TestOddEntryDoesNotRemoveAListedVM guards against the loss of a VM whose address a second, odd entry of the list has, too.
func TestOddEntryDoesNotRemoveAListedVM(t *testing.T) {
	const sound = `{"address":"10.0.0.7:80","role":"engine","group":"g","failure_domain":"d","state":"live"}`
	odd := strings.Replace(sound, `"live"`, `"asleep"`, 1)
	for _, entries := range []string{sound + "," + odd, odd + "," + sound} {
		list, err := answeringPlatform(t, fmt.Sprintf(`{"version":9,"after":8,"vms":[%s]}`, entries)).List(context.Background(), 8)
		applied := NewVersionedList()
		applied.Apply(VMList{Version: 8})
		if err != nil || !applied.Apply(list) || len(applied.Full().VMs) != 1 {
			t.Errorf("the list is %v, %v", applied.Full().VMs, err)
		}
	}
}

// TestOddDocumentLeavesTheOthersReadable guards against a configuration that can't be followed while one document is odd.
func TestOddDocumentLeavesTheOthersReadable(t *testing.T) {
	for _, odd := range []string{
		`{"key":"models/odd","version":1e400,"data":{}}`,
		`{"key":7,"version":7,"data":{}}`,
		`{"key":"models/odd","version":7,"deleted":"no"}`,
		`{"key":"models/odd","version":7,"data":` + nested(20_000) + `}`,
		`{"key":"models/odd","version":7,"data":{"a":"]}\"` + strings.Repeat("[", 30) + `","b":` + nested(9_990) + `}}`,
		`7`, `null`, nested(20_000),
	} {
		body := fmt.Sprintf(`{"revision":9,"values":[{"key":"models/a","version":5,"data":{}},%s,{"key":"models/b","version":6,"data":{}}],"more":true}`, odd)
		changes, err := answeringPlatform(t, body).Changes(context.Background(), 4, 0)
		if err != nil || changes.Revision != 9 || !changes.More || len(changes.Values) < 2 {
			t.Errorf("%.60s: the changes are %v, %v", odd, changes, err)
			continue
		}
		if last := changes.Values[len(changes.Values)-1]; last.Key != "models/b" || string(last.Data) != "{}" {
			t.Errorf("%.60s: the last document is %+v", odd, last)
		}
		if raw, err := json.Marshal([][]Changes{{changes}}); err != nil || !json.Valid(raw) {
			t.Errorf("%.60s: the documents can't be passed on", odd)
		}
	}
}

// TestOddFrameIsRefused guards against a list or a configuration that is taken as whole though its frame can't be read.
func TestOddFrameIsRefused(t *testing.T) {
	for _, body := range []string{`[]`, `{"version":"9"}`, `{"version":9,"vms":{}}`, `{"version":9,"vms":[]`, `{"version":9,"gone":[7]}`} {
		if list, err := answeringPlatform(t, body).List(context.Background(), 8); !code.Is(err, code.PlatformSilent) {
			t.Errorf("%s was read as %+v, %v", body, list, err)
		}
	}
	for _, body := range []string{`[]`, `{"revision":"9"}`, `{"revision":9,"values":{}}`, `{"revision":9,"values":[]`} {
		if changes, err := answeringPlatform(t, body).Changes(context.Background(), 8, time.Second); !code.Is(err, code.PlatformSilent) {
			t.Errorf("%s was read as %+v, %v", body, changes, err)
		}
	}
}
