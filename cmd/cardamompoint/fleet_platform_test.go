package main

import (
	"context"
	"net/http"
	"path/filepath"
	"strings"

	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

func (f *testFleet) startPlatform() {
	f.start("platform", "standin", "platform", "--listen", f.platformAddress(), "--published", filepath.Join(f.dir, "published"))
}

func (f *testFleet) platformAddress() string {
	return f.net + ".9.1:7100"
}

// publish writes a document to the emulated platform and returns its version.
func (f *testFleet) publish(key, document string) (int64, error) {
	var answer struct {
		Version int64 `json:"version"`
	}
	err := f.put("/operator/v1/values/"+key, document, &answer)
	return answer.Version, err
}

// put sends a PUT request with a JSON body to the emulated platform.
func (f *testFleet) put(path, body string, out any) error {
	request, err := http.NewRequest(http.MethodPut, "http://"+f.platformAddress()+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	return jsonhttp.Do(http.DefaultClient, request, out)
}

// get decodes the JSON response of an emulated endpoint.
func (f *testFleet) get(address, path string, out any) {
	f.t.Helper()
	f.must(jsonhttp.Get(context.Background(), http.DefaultClient, "http://"+address+path, out))
}
