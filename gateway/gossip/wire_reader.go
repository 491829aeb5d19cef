package gossip

import (
	"encoding/binary"
	"encoding/hex"
	"net/netip"

	"cardamompoint.example/cardamompoint/code"
)

const (
	// maxNameBytes bounds each part of an encoded name, in bytes.
	maxNameBytes = 200
	// maxInternedNames is the number of interned names above which reset drops all.
	maxInternedNames = 8192
)

// wireReader decodes the fields of a datagram. After the first error, which end returns,
// all further fields are zero.
type wireReader struct {
	rest  []byte
	names []string
	// interned holds the names of earlier datagrams by their encoded form, so that each
	// is allocated only once.
	interned map[string]string
	err      error
}

func (r *wireReader) reset(datagram []byte) {
	r.rest, r.names, r.err = datagram, r.names[:0], nil
	if len(r.interned) > maxInternedNames {
		clear(r.interned)
	}
}

// fail records the first error and discards the rest of the datagram.
func (r *wireReader) fail(what string) {
	if r.err == nil {
		r.err = code.New(code.InvalidDocument, "malformed report: %s", what)
	}
	r.rest = nil
}

// end returns the first error; bytes left over are an error too.
func (r *wireReader) end() error {
	if r.err == nil && len(r.rest) > 0 {
		r.fail("trailing bytes after the last field")
	}
	return r.err
}

// number reads a signed varint.
func (r *wireReader) number() int64 {
	value, size := binary.Varint(r.rest)
	if size <= 0 {
		r.fail("invalid varint")
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

// numberInRange reads a number from lower to upper, both included.
func (r *wireReader) numberInRange(lower, upper int64) int64 {
	value := r.number()
	if value < lower || value > upper {
		r.fail("number out of range")
		return 0
	}
	return value
}

// count reads an unsigned number of at most limit.
func (r *wireReader) count(limit int) int {
	value, size := binary.Uvarint(r.rest)
	if size <= 0 || value > uint64(limit) {
		r.fail("count missing or above its limit")
		return 0
	}
	r.rest = r.rest[size:]
	return int(value)
}

// entryCount reads the number of entries that follow, at most limit. A count above the
// number of bytes left is an error, as each entry takes at least one byte; this bounds
// the allocation for it.
func (r *wireReader) entryCount(limit int) int {
	count := r.count(limit)
	if count > len(r.rest) {
		r.fail("more entries than bytes left")
		return 0
	}
	return count
}

func (r *wireReader) hash() uint64 {
	raw := r.take(8)
	if raw == nil {
		return 0
	}
	return binary.LittleEndian.Uint64(raw)
}

// flags reads one byte whose bits are the values, the lowest bit first.
func (r *wireReader) flags(values ...*bool) {
	raw := r.take(1)
	if raw == nil {
		return
	}
	for i, value := range values {
		*value = raw[0]&(1<<i) != 0
	}
}

// take returns the next size bytes, nil if fewer are left.
func (r *wireReader) take(size int) []byte {
	if size > len(r.rest) {
		r.fail("unexpected end")
		return nil
	}
	taken := r.rest[:size]
	r.rest = r.rest[size:]
	return taken
}

// name reads an index into the names of this datagram; a new name follows its index.
func (r *wireReader) name() string {
	number := r.count(len(r.names))
	if r.err != nil {
		return ""
	}
	if number < len(r.names) {
		return r.names[number]
	}
	value := r.newName()
	r.names = append(r.names, value)
	return value
}

// newName reads a name in one of the encodings of wire_writer.go.
func (r *wireReader) newName() string {
	start := r.rest
	form := r.take(1)
	if form == nil {
		return ""
	}
	var prefix, packed []byte
	switch form[0] {
	case nameIPv4:
		packed = r.take(4)
	case nameText:
		prefix = r.take(r.count(maxNameBytes))
	case nameHex:
		prefix = r.take(r.count(maxNameBytes))
		packed = r.take(r.count(maxNameBytes))
	default:
		r.fail("unknown name encoding")
	}
	if r.err != nil {
		return ""
	}
	raw := start[:len(start)-len(r.rest)]
	if known, ok := r.interned[string(raw)]; ok {
		return known
	}
	value := decodeName(form[0], prefix, packed)
	r.interned[string(raw)] = value
	return value
}

func decodeName(form byte, prefix, packed []byte) string {
	if form == nameIPv4 {
		return netip.AddrFrom4([4]byte(packed)).String()
	}
	return string(prefix) + hex.EncodeToString(packed)
}
