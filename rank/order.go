package rank

import "github.com/cespare/xxhash/v2"

// Key returns the hash of a key that consists of parts. Each part is terminated, so
// different divisions of the same text give different keys.
func Key(parts ...string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		digest.WriteString(part)
		digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// Top returns the indexes of the first limit nodes for key, best first. A limit of 0 or
// less means all. Callers that rank the same nodes often should keep a Set instead.
func Top(key uint64, nodes []Node, limit int) []int {
	return NewSet(nodes).AppendTop(nil, key, limit)
}
