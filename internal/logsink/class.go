package logsink

import "bytes"

// class tells how long a line is kept under load.
type class int

const (
	// routine lines go first.
	routine class = iota
	// lasting lines tell of requests that must not be repeated.
	lasting
	// urgent lines tell of refusals and failures.
	urgent
)

// LastingMark is what a lasting line contains.
const LastingMark = `repeat="never"`

var lastingMark = []byte(LastingMark)

// classOf returns the class of a line in klog's form.
func classOf(line []byte) class {
	if len(line) > 0 && (line[0] == 'E' || line[0] == 'W' || line[0] == 'F') {
		return urgent
	}
	if bytes.Contains(line, lastingMark) {
		return lasting
	}
	return routine
}

// kindOf returns the part of the program that a line in klog's form is from: the
// prefix of its message.
func kindOf(line []byte) string {
	_, message, found := bytes.Cut(line, []byte(`] "`))
	if !found {
		return ""
	}
	prefix, _, found := bytes.Cut(message, []byte(":"))
	if !found || len(prefix) > 16 {
		return ""
	}
	return string(prefix)
}
