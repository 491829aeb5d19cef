package news

import (
	"encoding/binary"
	"encoding/hex"
	"net/netip"
)

// The forms of a name on the wire.
const (
	// formText is a name as it is.
	formText = 0
	// formHex is a prefix, and digits of which two take one byte.
	formHex = 1
	// formIPv4 is an IP number in four bytes.
	formIPv4 = 2
)

// wireWriter appends the parts of a report to a datagram. Numbers take as many bytes as
// they need; a name is written once and then numbered.
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

func (w *wireWriter) flags(values ...bool) {
	bits := byte(0)
	for i, value := range values {
		if value {
			bits |= 1 << i
		}
	}
	w.datagram = append(w.datagram, bits)
}

// name writes the number of a name, and the name itself if it is a new one.
func (w *wireWriter) name(value string) {
	number, known := w.names[value]
	if !known {
		number = uint64(len(w.names))
		w.names[value] = number
	}
	w.datagram = binary.AppendUvarint(w.datagram, number)
	if !known {
		w.text(value)
	}
}

func (w *wireWriter) text(value string) {
	if ip, err := netip.ParseAddr(value); err == nil && ip.Is4() {
		bytes := ip.As4()
		w.datagram = append(append(w.datagram, formIPv4), bytes[:]...)
		return
	}
	prefix, digits := splitHex(value)
	if len(digits) == 0 {
		w.datagram = append(w.datagram, formText)
		w.bytes(value)
		return
	}
	w.datagram = append(w.datagram, formHex)
	w.bytes(prefix)
	w.count(len(digits) / 2)
	w.datagram, _ = hex.AppendDecode(w.datagram, []byte(digits)) // All are digits.
}

func (w *wireWriter) bytes(value string) {
	w.count(len(value))
	w.datagram = append(w.datagram, value...)
}

// splitHex splits off the longest even number of lowercase hexadecimal digits at the end.
func splitHex(value string) (prefix, digits string) {
	begin := len(value)
	for begin > 0 && isHexDigit(value[begin-1]) {
		begin--
	}
	begin += (len(value) - begin) % 2
	return value[:begin], value[begin:]
}

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f'
}
