// Package compress compresses messages between processes with gzip. A compressor needs
// tables of some hundred kilobytes, so compressors are pooled.
package compress

import (
	"compress/gzip"
	"io"
	"sync"
)

var writers = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// Write writes raw to w as a gzip stream. It is safe for concurrent use.
func Write(w io.Writer, raw []byte) error {
	compressor := writers.Get().(*gzip.Writer)
	defer writers.Put(compressor)
	compressor.Reset(w)
	if _, err := compressor.Write(raw); err != nil {
		return err
	}
	return compressor.Close()
}
