package gossip

import (
	"encoding/binary"
	"encoding/hex"
	"net/netip"
)

// The encodings of a name; the first byte of a new name.
const (
	// nameText is followed by the length and the bytes of the name.
	nameText = 0
	// nameHex is followed by a prefix as in nameText, then by the length and the bytes of
	// the hexadecimal digits that end the name, two digits to a byte.
	nameHex = 1
	// nameIPv4 is followed by the four bytes of an IPv4 address.
	nameIPv4 = 2
)

// wireWriter appends fields to a datagram. Numbers are varints. A name is written in full
// once per datagram and by its index afterwards.
type wireWriter struct {
	datagram []byte
	names    map[string]uint64
}

func (w *wireWriter) reset() {
	w.datagram = w.datagram[:0]
	clear(w.names)
}

func (w *wireWriter) number(value int64) {
	w.datagram = binary.AppendVarint(w.datagram, value)
}

func (w *wireWriter) count(value int) {
	w.datagram = binary.AppendUvarint(w.datagram, uint64(value))
}

func (w *wireWriter) hash(value uint64) {
	w.datagram = binary.LittleEndian.AppendUint64(w.datagram, value)
}

// flags writes one byte whose bits are the values, at most eight, the lowest bit first.
func (w *wireWriter) flags(values ...bool) {
	bits := byte(0)
	for i, value := range values {
		if value {
			bits |= 1 << i
		}
	}
	w.datagram = append(w.datagram, bits)
}

// name writes the index of a name, followed by the name itself if it is new to this
// datagram.
func (w *wireWriter) name(value string) {
	number, known := w.names[value]
	if !known {
		number = uint64(len(w.names))
		w.names[value] = number
	}
	w.datagram = binary.AppendUvarint(w.datagram, number)
	if !known {
		w.newName(value)
	}
}

// newName writes an IPv4 address in binary, and any other name with the hexadecimal digits at
// its end packed.
func (w *wireWriter) newName(value string) {
	if ip, err := netip.ParseAddr(value); err == nil && ip.Is4() {
		bytes := ip.As4()
		w.datagram = append(append(w.datagram, nameIPv4), bytes[:]...)
		return
	}
	prefix, digits := splitHex(value)
	if len(digits) == 0 {
		w.datagram = append(w.datagram, nameText)
		w.bytes(value)
		return
	}
	w.datagram = append(w.datagram, nameHex)
	w.bytes(prefix)
	w.count(len(digits) / 2)
	w.datagram, _ = hex.AppendDecode(w.datagram, []byte(digits)) // splitHex returns hexadecimal digits only.
}

func (w *wireWriter) bytes(value string) {
	w.count(len(value))
	w.datagram = append(w.datagram, value...)
}

// splitHex splits value before its longest suffix of an even number of lowercase
// hexadecimal digits.
func splitHex(value string) (prefix, digits string) {
	start := len(value)
	for start > 0 && isHexDigit(value[start-1]) {
		start--
	}
	start += (len(value) - start) % 2
	return value[:start], value[start:]
}

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f'
}
