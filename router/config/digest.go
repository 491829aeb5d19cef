package config

import (
	"encoding/base64"
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"cardamompoint.example/cardamompoint/code"
)

// buckets is the number of parts of a Digest. More parts make a message with a
// Digest longer and the list of units in a part that differs shorter.
const buckets = 128

const bucketBytes = 4

// Digest summarises the stamps of all units in constant size. Each unit
// belongs to one bucket; the bucket holds the exclusive or of their hashes.
type Digest [buckets]uint32

func bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % buckets)
}

// toggle adds the stamp, or removes it if it was added before.
func (d *Digest) toggle(stamp Stamp) {
	d[bucketOf(stamp.Name)] ^= stamp.hash()
}

// rootBits is the length of a root. Two that differ are the same by chance once
// in a trillion.
const rootBits = 40

// Root returns one short hash of the whole digest.
func (d *Digest) Root() string {
	return strconv.FormatUint(xxhash.Sum64(d.bytes())>>(64-rootBits), 36)
}

func (d *Digest) bytes() []byte {
	raw := make([]byte, 0, buckets*bucketBytes)
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
	if err != nil || len(raw) != buckets*bucketBytes {
		return code.New(code.BadRequest, "the digest can't be decoded")
	}
	for i := range d {
		d[i] = binary.BigEndian.Uint32(raw[i*bucketBytes:])
	}
	return nil
}
