package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"cardamompoint.example/cardamompoint/platform"
)

// TestEntryWithTheAddressOfAVMOrTheStoreIsNotUsed guards against requests that a VM sends to a VM, round and round, or to the store.
func TestEntryWithTheAddressOfAVMOrTheStoreIsNotUsed(t *testing.T) {
	f := newTestFleet(t, 2)
	for i, address := range []string{f.address(1, frontPort), f.address(2, frontPort), f.address(1, controlPort), f.address(2, peerPort), f.address(f.storeHost, storePort)} {
		value := fmt.Sprintf(`{"service":"plain","address":%q,"zone":"domain-a","version":"v1","slots":64,"state":"ready","coldLeftMs":0,"born":1764900000000,"sequence":1}`, address)
		f.store.Put(fmt.Sprint(platform.EndpointPrefix, "odd-", i), []byte(value))
	}
	f.store.PutEndpoint("engine-2", "engines", f.address(101, workerPort), "draining")
	f.expectUsed("plain-1", "plain-2")
	for range 30 {
		got := f.ask(context.Background(), 1, query{path: "/lookup/1", body: "work"})
		if got.status != http.StatusOK {
			t.Errorf("%+v", got)
		}
	}
}
