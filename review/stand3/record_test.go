package stand3

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one line each, with the seconds since its start.
type record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{began: time.Now(), file: file}, err
}

// at returns the seconds since the start.
func (r *record) at(t time.Time) float64 {
	return t.Sub(r.began).Seconds()
}

// write writes a line: who, what, and pairs of names and values.
func (r *record) write(who, what string, pairs ...any) {
	var line strings.Builder
	fmt.Fprintf(&line, "%9.4f %s %s", r.at(time.Now()), who, what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&line, " %v=%v", pairs[i], pairs[i+1])
	}
	line.WriteByte('\n')
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line.String())
}
