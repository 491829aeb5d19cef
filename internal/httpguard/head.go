package httpguard

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"strings"
)

// errUnsound tells that a head is refused.
var errUnsound = errors.New("the request head is not sound")

// maxLength bounds a body's length, so that counting can't overflow.
const maxLength = math.MaxInt32

// parseHead checks a whole head and returns its body's framing.
func parseHead(head []byte) (body, error) {
	lines := bytes.Split(head, []byte("\n"))
	lines = lines[:len(lines)-1]
	if len(lines) < 2 {
		return body{}, errUnsound
	}
	for i, line := range lines {
		if !cleanLine(line) {
			return body{}, errUnsound
		}
		lines[i] = line[:len(line)-1]
	}
	if !soundRequestLine(string(lines[0])) {
		return body{}, errUnsound
	}
	framed, err := framing(lines[1 : len(lines)-1])
	if framed.chunked && bytes.HasSuffix(lines[0], []byte("HTTP/1.0")) {
		return body{}, errUnsound // Its readers know no chunks.
	}
	return framed, err
}

// cleanLine reports whether a line ends in its only CR and has no control
// characters but tabs.
func cleanLine(line []byte) bool {
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

func soundRequestLine(line string) bool {
	fields := strings.Split(line, " ")
	return len(fields) == 3 && isToken(fields[0]) && fields[1] != "" &&
		(fields[2] == "HTTP/1.1" || fields[2] == "HTTP/1.0")
}

// framing reads the length of the body from the header lines.
func framing(lines [][]byte) (body, error) {
	var lengths, codings []string
	for _, line := range lines {
		name, value, ok := strings.Cut(string(line), ":")
		if !ok || !isToken(name) {
			return body{}, errUnsound
		}
		switch strings.ToLower(name) {
		case "content-length":
			lengths = append(lengths, strings.Trim(value, " \t"))
		case "transfer-encoding":
			codings = append(codings, strings.Trim(value, " \t"))
		}
	}
	return bodyOf(lengths, codings)
}

func bodyOf(lengths, codings []string) (body, error) {
	if len(lengths)+len(codings) > 1 {
		return body{}, errUnsound
	}
	if len(codings) == 1 {
		if !strings.EqualFold(codings[0], "chunked") {
			return body{}, errUnsound
		}
		return body{chunked: true, state: chunkSize}, nil
	}
	if len(lengths) == 0 {
		return body{}, nil
	}
	length, err := strconv.ParseUint(lengths[0], 10, 63)
	if err != nil || length > maxLength {
		return body{}, errUnsound
	}
	return body{left: int(length)}, nil
}

// isToken reports whether text is a token as names of headers are.
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
