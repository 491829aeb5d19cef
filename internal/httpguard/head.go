package httpguard

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"strings"
)

// errMalformedHead is the error for heads that are rejected.
var errMalformedHead = errors.New("malformed request head")

// maxBodyLength bounds the length of a body or chunk in bytes, so that counters can't
// overflow.
const maxBodyLength = math.MaxInt32

// parseHead validates a complete head and returns the framing of its body.
func parseHead(head []byte) (body, error) {
	lines := bytes.Split(head, []byte("\n"))
	lines = lines[:len(lines)-1]
	if len(lines) < 2 {
		return body{}, errMalformedHead
	}
	for i, line := range lines {
		if !isValidLine(line) {
			return body{}, errMalformedHead
		}
		lines[i] = line[:len(line)-1]
	}
	if !isValidRequestLine(string(lines[0])) {
		return body{}, errMalformedHead
	}
	framed, err := parseFraming(lines[1 : len(lines)-1])
	if framed.chunked && bytes.HasSuffix(lines[0], []byte("HTTP/1.0")) {
		return body{}, errMalformedHead // HTTP/1.0 has no chunked coding.
	}
	return framed, err
}

// isValidLine reports whether a line, given without its LF, ends in its only CR and has no
// other control characters than tabs.
func isValidLine(line []byte) bool {
	if len(line) == 0 || line[len(line)-1] != '\r' {
		return false
	}
	for _, char := range line[:len(line)-1] {
		if (char < ' ' && char != '\t') || char == 0x7f {
			return false
		}
	}
	return true
}

// isValidRequestLine reports whether line has a method, a target and a version that is
// HTTP/1.0 or HTTP/1.1, separated by single spaces.
func isValidRequestLine(line string) bool {
	fields := strings.Split(line, " ")
	return len(fields) == 3 && isToken(fields[0]) && fields[1] != "" &&
		(fields[2] == "HTTP/1.1" || fields[2] == "HTTP/1.0")
}

// parseFraming returns the framing of the body from the header lines.
func parseFraming(lines [][]byte) (body, error) {
	var lengths, codings []string
	for _, line := range lines {
		name, value, ok := strings.Cut(string(line), ":")
		if !ok || !isToken(name) {
			return body{}, errMalformedHead
		}
		switch strings.ToLower(name) {
		case "content-length":
			lengths = append(lengths, strings.Trim(value, " \t"))
		case "transfer-encoding":
			codings = append(codings, strings.Trim(value, " \t"))
		}
	}
	return bodyFraming(lengths, codings)
}

// bodyFraming returns the framing of a body with the given Content-Length and
// Transfer-Encoding values. At most one value in total is accepted.
func bodyFraming(lengths, codings []string) (body, error) {
	if len(lengths)+len(codings) > 1 {
		return body{}, errMalformedHead
	}
	if len(codings) == 1 {
		if !strings.EqualFold(codings[0], "chunked") {
			return body{}, errMalformedHead
		}
		return body{chunked: true, state: chunkSize}, nil
	}
	if len(lengths) == 0 {
		return body{}, nil
	}
	length, err := strconv.ParseUint(lengths[0], 10, 63)
	if err != nil || length > maxBodyLength {
		return body{}, errMalformedHead
	}
	return body{remaining: int(length)}, nil
}

// isToken reports whether text is a token as RFC 9110 defines it for methods and header
// names.
func isToken(text string) bool {
	for i := range len(text) {
		char := text[i]
		letter := (char|0x20) >= 'a' && (char|0x20) <= 'z'
		digit := char >= '0' && char <= '9'
		if !letter && !digit && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(char)) {
			return false
		}
	}
	return text != ""
}
