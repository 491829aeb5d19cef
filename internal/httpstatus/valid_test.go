package httpstatus

import "testing"

// TestIsValid guards against statuses outside of the classes of HTTP that are taken for those of an answer.
func TestIsValid(t *testing.T) {
	for status, want := range map[int]bool{-1: false, 0: false, 99: false, 100: true, 101: false, 103: true, 200: true, 599: true, 600: false, 999: false} {
		if IsValid(status) != want {
			t.Errorf("%d: want %t", status, want)
		}
	}
}
