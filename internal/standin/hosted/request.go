package hosted

import (
	"net/http"
	"strings"
)

// NewRequest returns a caller's request with the default key. Requests to engine routes carry a
// prompt.
func NewRequest(address, path, id string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("work"))
	if err != nil {
		panic(err) // Tests and the demo only pass valid addresses and paths.
	}
	request.Host = Host
	request.Header.Set("Cardamompoint-Attempt-Id", id)
	request.Header.Set("Authorization", "Bearer "+Key)
	request.Header.Set("Cardamompoint-Request-Deadline", "4000")
	if strings.HasPrefix(path, "/chat/") || strings.HasPrefix(path, "/roster/") {
		request.Header.Set("Cardamompoint-Model", "m")
		request.Header.Set("Cardamompoint-Prompt-Prefix", "a:500,b:10000,"+id+":100")
	}
	return request
}
