package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"cardamompoint.example/cardamompoint/internal/trace"
)

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// cause says why a request was not served.
type cause struct {
	Service string
	// Repeat is whether the request may run twice, never or maybe.
	Repeat string
	Code   string
	Status string
	// Attempts is the number of endpoints to which the request was sent.
	Attempts int
	// Fault is that of the last attempt, or the detail if there was none, without what
	// differs from request to request.
	Fault string
}

// loss counts the requests with one cause.
type loss struct {
	cause
	Requests int
	// First is the ID of the first request, for cardamompoint trace.
	First string
	// BySecond counts the requests by the time of day at which they ended, to the second.
	BySecond map[string]int
}

// attempt is what the log line of a request says of one attempt.
type attempt struct {
	Status int    `json:"status"`
	Fault  string `json:"fault"`
}

// variable matches the parts of a fault that differ from request to request.
var variable = regexp.MustCompile(`[0-9]+(\.[0-9]+)*(:[0-9]+)?|\bi-[0-9a-f]+`)

// readLosses returns the requests of a log that were not served, the most frequent cause first.
func readLosses(log io.Reader) ([]*loss, error) {
	byCause := map[cause]*loss{}
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line, ok := trace.Parse("", lines.Text())
		if !ok || !strings.HasPrefix(line.Message, "route: ") || line.Fields["code"] == "0" {
			continue
		}
		why := causeOf(&line)
		if byCause[why] == nil {
			byCause[why] = &loss{cause: why, First: line.Fields["request"], BySecond: map[string]int{}}
		}
		byCause[why].Requests++
		second, _, _ := strings.Cut(line.Timestamp, ".")
		byCause[why].BySecond[second]++
	}
	losses := make([]*loss, 0, len(byCause))
	for _, found := range byCause {
		losses = append(losses, found)
	}
	slices.SortFunc(losses, func(a, b *loss) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), strings.Compare(a.First, b.First))
	})
	return losses, eris.Wrap(lines.Err(), "the log can't be read")
}

// causeOf returns the cause that a log line gives.
func causeOf(line *trace.Line) cause {
	fields := line.Fields
	var attempts []attempt
	if err := json.Unmarshal([]byte(fields["attempts"]), &attempts); err != nil {
		attempts = nil // A line without attempts has another value.
	}
	fault := fields["detail"]
	if len(attempts) > 0 {
		fault = attempts[len(attempts)-1].Fault
	}
	return cause{
		Service:  fields["service"],
		Repeat:   fields["repeat"],
		Code:     fields["code"],
		Status:   fields["status"],
		Attempts: len(attempts),
		Fault:    variable.ReplaceAllString(fault, "#"),
	}
}

// writeLosses writes one line for each cause, followed by the seconds in which its requests ended.
func writeLosses(w io.Writer, losses []*loss) {
	for _, l := range losses {
		fmt.Fprintf(w, "%5d service=%s repeat=%s code=%s status=%s attempts=%d first=%s %s\n", l.Requests, l.Service, l.Repeat, l.Code, l.Status, l.Attempts, l.First, l.Fault)
		seconds := make([]string, 0, len(l.BySecond))
		for second := range l.BySecond {
			seconds = append(seconds, second)
		}
		slices.Sort(seconds)
		for _, second := range seconds {
			fmt.Fprintf(w, "      %s %d\n", second, l.BySecond[second])
		}
	}
}
