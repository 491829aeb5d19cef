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
	for _, field := range []string{workspace, c.r.Method, c.r.Host, c.r.RequestURI, string(c.body)} {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = digest.Write(size[:]) // A digest returns no error.
		_, _ = digest.WriteString(field)
	}
	return max(1, digest.Sum64())
}
