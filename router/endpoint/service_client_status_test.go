package endpoint

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"cardamompoint.example/cardamompoint/code"
)

// TestAnswerWithAnInvalidStatusIsAFault guards against callers that get an answer with a status that HTTP does not allow, or no answer as
// it can't be written.
func TestAnswerWithAnInvalidStatusIsAFault(t *testing.T) {
	for _, status := range []int{0, 99, 101, 600, 999} {
		address := listen(t, func(conn net.Conn) {
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				fmt.Fprintf(conn, "HTTP/1.1 %03d Odd\r\n%s: r1\r\nContent-Length: 5\r\n\r\nwrong", status, RequestHeader)
			}
		})
		answer, err := NewServiceClient(&http.Transport{}).Call(context.Background(), address, Call{RequestID: "r1", Method: http.MethodPost, Path: "/work"})
		if !code.Is(err, code.EndpointFault) {
			t.Errorf("%03d: %+v, %v", status, answer, err)
		}
	}
}
