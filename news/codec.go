package news

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// compressFrom is the size of a report from which it is sent compressed.
	compressFrom = 400
	// compressedMark begins a compressed datagram; JSON never begins so.
	compressedMark = 1
	// maxReport bounds an unpacked report, in bytes.
	maxReport = 256 << 10
	// compression is fast, as each VM packs five reports a second.
	compression = 3
)

// dictionary is text that reports are made of; both ends must have the same.
var dictionary = []byte(strings.Join([]string{
	`{"a":"10.","i":17,"n":1,"d":"","c":,"l":true,"k":true,"h":true,"v":,"r":,"o":true,"g":,"m":["10.","10."],`,
	`"u":[{"a":"10.","i":17,"g":,"d":""},{"a":"10.","i":17,"g":,"d":"","k":true}],`,
	`"e":[{"e":"i-","r":,"g":},{"e":"i-","r":,"g":}],"w":[{"e":"i-","r":1,"t":},{"e":"i-","r":2}],`,
	`"p":[{"p":1,"e":"i-"},{"p":2,"e":"i-"}],"f":[{"e":"i-","x":}]}`,
}, ""))

// encoder packs reports. It is not safe for concurrent use.
type encoder struct {
	buffer bytes.Buffer
	writer *flate.Writer
}

func newEncoder() (*encoder, error) {
	e := &encoder{}
	writer, err := flate.NewWriterDict(&e.buffer, compression, dictionary)
	if err != nil {
		return nil, eris.Wrap(err, "reports can't be compressed")
	}
	e.writer = writer
	return e, nil
}

// encode returns a datagram. It is valid until the next call.
func (e *encoder) encode(report *Report) ([]byte, error) {
	raw, err := json.Marshal(report)
	if err != nil || len(raw) < compressFrom {
		return raw, err
	}
	e.buffer.Reset()
	e.buffer.WriteByte(compressedMark)
	e.writer.Reset(&e.buffer)
	if _, err := e.writer.Write(raw); err != nil {
		return nil, err
	}
	if err := e.writer.Close(); err != nil {
		return nil, err
	}
	return e.buffer.Bytes(), nil
}

// decoder unpacks reports. It is not safe for concurrent use.
type decoder struct {
	source bytes.Reader
	reader io.ReadCloser
	buffer bytes.Buffer
}

func newDecoder() *decoder {
	d := &decoder{}
	d.reader = flate.NewReaderDict(&d.source, dictionary)
	return d
}

// decode returns the report of a datagram.
func (d *decoder) decode(datagram []byte) (Report, error) {
	var report Report
	if len(datagram) == 0 || datagram[0] != compressedMark {
		return report, json.Unmarshal(datagram, &report)
	}
	d.source.Reset(datagram[1:])
	if err := d.reader.(flate.Resetter).Reset(&d.source, dictionary); err != nil {
		return report, err
	}
	d.buffer.Reset()
	if _, err := io.Copy(&d.buffer, io.LimitReader(d.reader, maxReport)); err != nil {
		return report, err
	}
	return report, json.Unmarshal(d.buffer.Bytes(), &report)
}
