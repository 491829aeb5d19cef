package config

import (
	"encoding/base64"
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"cardamompoint.example/cardamompoint/code"
)

// bucketCount is the number of buckets of a Digest. More buckets make a message
// with a Digest longer and the list of units in a differing bucket shorter.
const bucketCount = 128

// bucketBytes is the encoded size of a bucket.
const bucketBytes = 4

// Digest summarizes the stamps of all units in constant size. Each unit belongs to
// one bucket; a bucket holds the XOR of its units' hashes.
type Digest [bucketCount]uint32

// bucketOf returns the bucket of the unit with the given name.
func bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % bucketCount)
}

// toggle adds the stamp to the digest, or removes it if it was added before.
func (d *Digest) toggle(stamp Stamp) {
	d[bucketOf(stamp.Name)] ^= stamp.hash()
}

// rootBits is the length of a root hash. Two different digests have the same root
// with a probability of about one in a trillion.
const rootBits = 40

// Root returns a short hash of the whole digest.
func (d *Digest) Root() string {
	return strconv.FormatUint(xxhash.Sum64(d.bytes())>>(64-rootBits), 36)
}

// bytes returns the digest's binary encoding.
func (d *Digest) bytes() []byte {
	raw := make([]byte, 0, bucketCount*bucketBytes)
	for _, bucket := range d {
		raw = binary.BigEndian.AppendUint32(raw, bucket)
	}
	return raw
}

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(base64.RawStdEncoding.EncodeToString(d.bytes())), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.DecodeString(string(text))
	if err != nil || len(raw) != bucketCount*bucketBytes {
		return code.New(code.BadRequest, "the digest is not valid base64 of the expected length")
	}
	for i := range d {
		d[i] = binary.BigEndian.Uint32(raw[i*bucketBytes:])
	}
	return nil
}
