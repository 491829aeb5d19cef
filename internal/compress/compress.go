// Package compress packs what processes tell each other with gzip. Packing needs tables of
// some hundred kilobytes, so they are kept for the next use.
package compress

import (
	"compress/gzip"
	"io"
	"sync"
)

var writers = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// Write writes raw to w in packed form. It is safe for concurrent use.
func Write(w io.Writer, raw []byte) error {
	packer := writers.Get().(*gzip.Writer)
	defer writers.Put(packer)
	packer.Reset(w)
	if _, err := packer.Write(raw); err != nil {
		return err
	}
	return packer.Close()
}
