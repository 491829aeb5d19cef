package upstream

import (
	"io"
	"net/http"
	"testing"
	"time"

	"cardamompoint.example/cardamompoint/internal/fleettest"
	"cardamompoint.example/cardamompoint/internal/socket"
)

const shortResponse = "HTTP/1.1 200 OK\r\nCardamompoint-Attempt-Id: a1\r\nContent-Length: 5\r\n\r\nright"

// TestResponseThatArrivedInTimeIsReadLate lets the deadline pass before the response that has
// arrived is read: the response must still be returned.
func TestResponseThatArrivedInTimeIsReadLate(t *testing.T) {
	near, far := fleettest.Connect(t)
	if _, err := io.WriteString(far, shortResponse); err != nil {
		t.Fatal(err)
	}
	for socket.IsSilent(near) {
		time.Sleep(time.Millisecond)
	}
	conn := newConn("a", near)
	conn.OnReadTimeout(func(arrived bool) time.Time {
		if !arrived {
			return time.Time{}
		}
		return time.Now().Add(10 * time.Second)
	})
	if err := conn.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	response, _, err := conn.ReadResponse(http.MethodGet, "a1")
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "right" {
		t.Errorf("%q, %v", body, err)
	}
}

// TestReadGoesOnUntilItIsGivenUp lets an endpoint be silent for three deadlines: the read must go on
// twice and fail then.
func TestReadGoesOnUntilItIsGivenUp(t *testing.T) {
	near, _ := fleettest.Connect(t)
	conn := newConn("a", near)
	timeouts := 0
	conn.OnReadTimeout(func(arrived bool) time.Time {
		timeouts++
		if arrived || timeouts == 3 {
			return time.Time{}
		}
		return time.Now().Add(time.Millisecond)
	})
	if err := conn.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := conn.ReadResponse(http.MethodGet, "a1"); err == nil || timeouts != 3 {
		t.Errorf("%d timeouts, %v", timeouts, err)
	}
}
