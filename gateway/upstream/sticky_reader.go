package upstream

import "io"

// stickyReader reads from source until a read fails, and returns that error from then on. Parsers drop errors and read
// on: bufio.Reader.ReadLine returns the beginning of a line in place of the error, and net/textproto looks for a
// continued line after each header without regard to one.
type stickyReader struct {
	source io.Reader
	// err is the error of the read that failed, nil if none has.
	err error
}

// Read implements io.Reader.
func (r *stickyReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	count, err := r.source.Read(p)
	r.err = err
	return count, err
}

// cause returns the error of the read that has failed, or err if none has. err is what a parser reports: that may be
// what it made of the bytes before the failed read.
func (r *stickyReader) cause(err error) error {
	if r.err == nil {
		return err
	}
	return unexpectedEnd(r.err)
}
