package logsink

import "bytes"

// class tells how long a line is kept under load.
type priority int

const (
	// routine lines go first.
	routine priority = iota
	// lasting lines tell of requests that must not be repeated.
	retained
	// urgent lines tell of refusals and failures.
	urgent
)

// LastingMark is what a lasting line contains.
const RetainedMark = `repeat="never"`

var retainedMark = []byte(RetainedMark)

// classOf returns the class of a line in klog's form.
func priorityOf(line []byte) priority {
	if len(line) > 0 && (line[0] == 'E' || line[0] == 'W' || line[0] == 'F') {
		return urgent
	}
	if bytes.Contains(line, retainedMark) {
		return retained
	}
	return routine
}

// kindOf returns the part of the program that a line in klog's form is from: the
// prefix of its message.
func sourceOf(line []byte) string {
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
