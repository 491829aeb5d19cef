package trace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// maxLineBytes bounds a log line; a longer one ends Read with an error.
const maxLineBytes = 1 << 20

// Read appends the lines of a log that mention id to lines and returns the result. Lines in
// another format than klog's are skipped.
func Read(lines []Line, source, id string, log io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if line, ok := Parse(source, scanner.Text()); ok && line.mentions(id) {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// attempt is one attempt of a request in the attempts field of a log line.
type attempt struct {
	Endpoint string  `json:"endpoint"`
	Reason   string  `json:"reason"`
	Load     int     `json:"load"`
	Mean     float64 `json:"mean"`
	Missing  int     `json:"missing"`
	Reading  int     `json:"reading"`
	Fetch    string  `json:"fetch"`
	Status   int     `json:"status"`
	BeganMS  int64   `json:"began_ms"`
	FirstMS  int64   `json:"first_ms"`
	TookMS   int64   `json:"took_ms"`
	Idle     bool    `json:"idle"`
	IdleMS   int64   `json:"idle_ms"`
	Stale    bool    `json:"stale"`
	Handover bool    `json:"handover"`
	Fault    string  `json:"fault"`
}

// Write sorts the lines by time and prints them.
func Write(w io.Writer, lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Timestamp, b.Timestamp) })
	for i := range lines {
		lines[i].write(w)
	}
}

func (l *Line) write(w io.Writer) {
	fmt.Fprintf(w, "%s %s  %s\n", l.Timestamp, l.Source, l.Message)
	for _, name := range l.FieldNames {
		value := l.Fields[name]
		if name == "attempts" {
			writeAttempts(w, value)
			continue
		}
		if value != "" {
			fmt.Fprintf(w, "    %s: %s\n", name, value)
		}
	}
}

func writeAttempts(w io.Writer, text string) {
	var attempts []attempt
	if json.Unmarshal([]byte(text), &attempts) != nil {
		fmt.Fprintf(w, "    attempts: %s\n", text)
		return
	}
	if len(attempts) == 0 {
		fmt.Fprintln(w, "    attempts: none, no endpoint was sent the request")
	}
	for i, one := range attempts {
		one.write(w, i+1)
	}
}

func (a *attempt) write(w io.Writer, number int) {
	var parts []string
	add := func(format string, args ...any) { parts = append(parts, fmt.Sprintf(format, args...)) }
	add("chosen as %q", a.Reason)
	add("load %d, mean %.1f", a.Load, a.Mean)
	if a.Missing > 0 {
		add("%d shared tokens not held, %d to read", a.Missing, a.Reading)
	}
	if a.Fetch != "" {
		add("copied from %s", a.Fetch)
	}
	fmt.Fprintf(w, "    attempt %d at %s: %s\n", number, a.Endpoint, strings.Join(parts, "; "))
	fmt.Fprintf(w, "        from %d ms for %d ms", a.BeganMS, a.TookMS)
	if a.FirstMS > 0 {
		fmt.Fprintf(w, ", first event after %d ms", a.FirstMS)
	}
	if a.Status > 0 {
		fmt.Fprintf(w, ", status %d", a.Status)
	}
	if a.Handover {
		fmt.Fprint(w, ", did not take the request of a silent endpoint over")
	}
	if a.Stale {
		fmt.Fprintf(w, ", idle connection (%d ms) ended before an answer", a.IdleMS)
	}
	if a.Fault != "" {
		fmt.Fprintf(w, ", %s", a.Fault)
	}
	fmt.Fprintln(w)
}
