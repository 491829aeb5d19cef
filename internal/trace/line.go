package trace

import (
	"encoding/json"
	"regexp"
	"strings"
)

// Line is a parsed log line.
type Line struct {
	// Source is the file that the line was read from, or the process that the line
	// names before its klog header.
	Source string
	// Timestamp is the month, day and time of day in klog's format. Timestamps of one
	// year sort as text.
	Timestamp string
	// IsError reports whether the line has klog's severity E.
	IsError bool
	// Message is the quoted message.
	Message string
	// Fields has the unquoted values of the key-value pairs; FieldNames has their keys
	// in the order of the line.
	Fields     map[string]string
	FieldNames []string
}

// linePattern matches a line in klog's format. Text before the header names the source.
var linePattern = regexp.MustCompile(`^(.*?)([IWEF])(\d{4} \d\d:\d\d:\d\d\.\d+)\s+\d+ [^\]]*\] "([^"]*)"(.*)$`)

// fieldPattern matches the next key-value pair of a line. The value is quoted, a list in
// brackets, or a word.
var fieldPattern = regexp.MustCompile(`^ ([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\[.*?\](?: |$)|\S*)`)

// Parse parses a line in klog's format; ok is false if it has another format. source is the
// Source of lines that name none.
func Parse(source, text string) (line Line, ok bool) {
	match := linePattern.FindStringSubmatch(text)
	if match == nil {
		return Line{}, false
	}
	if prefix := strings.Fields(match[1]); len(prefix) > 0 {
		source = prefix[len(prefix)-1]
	}
	line = Line{Source: source, IsError: match[2] == "E", Timestamp: match[3], Message: match[4], Fields: map[string]string{}}
	line.parseFields(match[5])
	return line, true
}

func (l *Line) parseFields(rest string) {
	for rest != "" {
		found := fieldPattern.FindStringSubmatch(rest)
		if found == nil {
			return
		}
		rest = rest[len(found[0]):]
		value := found[2]
		if strings.HasPrefix(value, "[") && strings.HasSuffix(value, " ") {
			value, rest = value[:len(value)-1], " "+rest
		}
		l.FieldNames = append(l.FieldNames, found[1])
		l.Fields[found[1]] = unquote(value)
	}
}

func unquote(text string) string {
	if !strings.HasPrefix(text, `"`) {
		return text
	}
	var unquoted string
	if json.Unmarshal([]byte(text), &unquoted) != nil {
		return strings.Trim(text, `"`)
	}
	return unquoted
}

// mentions reports whether the line is about the request, endpoint, peer or key with the
// given ID, or about the configuration version. A request's own version does not count.
func (l *Line) mentions(id string) bool {
	for name, value := range l.Fields {
		switch name {
		case "version":
			if value == id && l.Fields["request"] == "" {
				return true
			}
		case "attempts":
			if strings.Contains(value, `"`+id+`"`) {
				return true
			}
		case "request", "endpoint", "peer", "key":
			if value == id || strings.HasSuffix(value, "/"+id) {
				return true
			}
		}
	}
	return false
}
