package trace

import (
	"encoding/json"
	"regexp"
	"strings"
)

// Line is one log line.
type Line struct {
	// Source is the file or the process that wrote it, "" if it is not told.
	Source string
	// Stamp is the date and time of day as klog writes them; they sort as text
	// within a year.
	Timestamp string
	// Severe tells that the line is of an error.
	IsError bool
	// Message is the line's text.
	Message string
	// Fields are its values by name, in the order of Names.
	Fields     map[string]string
	FieldNames []string
}

// header matches a line in klog's form; what stands before it names the source.
var linePattern = regexp.MustCompile(`^(.*?)([IWEF])(\d{4} \d\d:\d\d:\d\d\.\d+)\s+\d+ [^\]]*\] "([^"]*)"(.*)$`)

// field matches the next value of a line: quoted, a list, or a word.
var fieldPattern = regexp.MustCompile(`^ ([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\[.*?\](?: |$)|\S*)`)

// Parse reads a line; ok is false if it has another form.
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

// concerns reports whether the line tells of the request, endpoint or peer with
// the id, or of the configuration version.
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
