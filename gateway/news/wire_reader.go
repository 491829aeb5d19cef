package news

import (
	"encoding/binary"
	"encoding/hex"
	"net/netip"

	"cardamompoint.example/cardamompoint/code"
)

const (
	// longestName bounds a name, in bytes.
	longestName = 200
	// internedNames bounds the names that are kept from earlier datagrams.
	internedNames = 8192
)

// wireReader takes the parts of a report from a datagram. After an error, which err
// returns, all parts are zero.
type wireReader struct {
	rest  []byte
	names []string
	// interned are the names of earlier datagrams by their form on the wire, so that
	// each is allocated once.
	interned map[string]string
	err      error
}

func (r *wireReader) reset(datagram []byte) {
	r.rest, r.names, r.err = datagram, r.names[:0], nil
	if len(r.interned) > internedNames {
		clear(r.interned)
	}
}

func (r *wireReader) fail(what string) {
	if r.err == nil {
		r.err = code.New(code.InvalidDocument, "a report has %s", what)
	}
	r.rest = nil
}

// end returns the error that was met, also if bytes are left.
func (r *wireReader) end() error {
	if r.err == nil && len(r.rest) > 0 {
		r.fail("bytes behind its end")
	}
	return r.err
}

func (r *wireReader) number() int64 {
	value, size := binary.Varint(r.rest)
	if size <= 0 {
		r.fail("no whole number where one is due")
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

// within reads a number that lies between the bounds.
func (r *wireReader) within(least, most int64) int64 {
	value := r.number()
	if value < least || value > most {
		r.fail("a number out of its range")
		return 0
	}
	return value
}

// count reads a number that is not negative, at most limit.
func (r *wireReader) count(limit int) int {
	value, size := binary.Uvarint(r.rest)
	if size <= 0 || value > uint64(limit) {
		r.fail("too large a number")
		return 0
	}
	r.rest = r.rest[size:]
	return int(value)
}

// entries reads the number of entries that follow, at most limit. Each takes a byte or
// more.
func (r *wireReader) entries(limit int) int {
	count := r.count(limit)
	if count > len(r.rest) {
		r.fail("more entries than bytes")
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

func (r *wireReader) flags(values ...*bool) {
	raw := r.take(1)
	if raw == nil {
		return
	}
	for i, value := range values {
		*value = raw[0]&(1<<i) != 0
	}
}

// take returns the next bytes, nil if there are not as many.
func (r *wireReader) take(size int) []byte {
	if size > len(r.rest) {
		r.fail("an early end")
		return nil
	}
	taken := r.rest[:size]
	r.rest = r.rest[size:]
	return taken
}

// name reads a name or the number of an earlier one.
func (r *wireReader) name() string {
	number := r.count(len(r.names))
	if r.err != nil {
		return ""
	}
	if number < len(r.names) {
		return r.names[number]
	}
	value := r.text()
	r.names = append(r.names, value)
	return value
}

func (r *wireReader) text() string {
	begin := r.rest
	form := r.take(1)
	if form == nil {
		return ""
	}
	var prefix, packed []byte
	switch form[0] {
	case formIPv4:
		packed = r.take(4)
	case formText:
		prefix = r.take(r.count(longestName))
	case formHex:
		prefix = r.take(r.count(longestName))
		packed = r.take(r.count(longestName))
	default:
		r.fail("a name of an unknown form")
	}
	if r.err != nil {
		return ""
	}
	raw := begin[:len(begin)-len(r.rest)]
	if known, ok := r.interned[string(raw)]; ok {
		return known
	}
	value := unpackName(form[0], prefix, packed)
	r.interned[string(raw)] = value
	return value
}

func unpackName(form byte, prefix, packed []byte) string {
	if form == formIPv4 {
		return netip.AddrFrom4([4]byte(packed)).String()
	}
	return string(prefix) + hex.EncodeToString(packed)
}
