package logsink

import "bytes"

// priority determines which lines are dropped first under load.
type priority int

const (
	// routine lines are dropped first.
	routine priority = iota
	// retained lines are about requests that must not be repeated.
	retained
	// urgent lines are warnings and errors: rejected requests and failures.
	urgent
)

// RetainedMark is contained in each retained line.
const RetainedMark = `repeat="never"`

var retainedMark = []byte(RetainedMark)

// priorityOf returns the priority of a line in klog's format.
func priorityOf(line []byte) priority {
	if len(line) > 0 && (line[0] == 'E' || line[0] == 'W' || line[0] == 'F') {
		return urgent
	}
	if bytes.Contains(line, retainedMark) {
		return retained
	}
	return routine
}

// sourceOf returns the part of the program that wrote a line in klog's format: the prefix
// of the message up to the colon, or "" if there is none or it is longer than 16 bytes.
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
