package gateway

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// fingerprint returns a hash of all that a repeated request has in common with the one before: its
// workspace, method, host, target and body. It is not 0. The body must have been read.
func (c *call) fingerprint() uint64 {
	digest := xxhash.New()
	workspace := ""
	if c.grant.workspace != nil {
		workspace = c.grant.workspace.Name
	}
	for _, field := range []string{workspace, c.r.Method, c.r.Host, c.r.RequestURI} {
		writeSize(digest, len(field))
		_, _ = digest.WriteString(field) // A digest returns no error.
	}
	writeSize(digest, len(c.body))
	_, _ = digest.Write(c.body)
	return max(1, digest.Sum64())
}

// writeSize adds the size of the next field, so that fields can't run into each other.
func writeSize(digest *xxhash.Digest, size int) {
	var raw [8]byte
	binary.LittleEndian.PutUint64(raw[:], uint64(size))
	_, _ = digest.Write(raw[:])
}
