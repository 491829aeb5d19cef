package stand

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run. It is safe for concurrent use.
type record struct {
	began time.Time

	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// line writes a line with the time since the start.
func (r *record) line(format string, values ...any) {
	text := fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, values...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.writer, text)
}

// summary writes a line that is also printed.
func (r *record) summary(format string, values ...any) {
	r.line(format, values...)
	fmt.Printf(format+"\n", values...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush() // Nobody is left to handle an error.
	_ = r.file.Close()
}
