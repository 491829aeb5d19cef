package endpoint

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// Digest returns a digest of the call's content: method, path, content type and
// body. Two calls with the same key and different digests are different work.
func (c Call) Digest() string {
	sum := sha256.New()
	for _, part := range []string{c.Method, c.Path, c.ContentType, string(c.Body)} {
		sum.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return hex.EncodeToString(sum.Sum(nil))
}
