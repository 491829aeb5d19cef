package demo

import (
	"fmt"
	"io"
	"net/http"

	"cardamompoint.example/cardamompoint/internal/standin/hosted"
)

// hostedAnswer is the response to a request with the given ID. complete reports whether its
// body was received to the end.
type hostedAnswer struct {
	id       string
	status   int
	body     string
	complete bool
}

// send sends a request to the gateway with the given number and returns its response.
func (h *hostedDemo) send(number int, path string) hostedAnswer {
	h.requestCount++
	answer := hostedAnswer{id: fmt.Sprintf("%016x", h.requestCount)}
	request := hosted.NewRequest(h.address(number, 7001), path, answer.id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	answer.status, answer.body, answer.complete = response.StatusCode, string(body), err == nil
	return answer
}

// getStatus returns the status of a GET request to url, 0 if it fails.
func (h *hostedDemo) getStatus(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}
