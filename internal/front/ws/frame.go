// Package ws implements the server's side of WebSocket, RFC 6455. It reads and encodes frames and messages;
// the owner of the connection writes them.
package ws

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"unicode/utf8"
)

// Opcode is a frame's type.
type Opcode byte

// The opcodes of RFC 6455, section 5.2.
const (
	Continuation Opcode = 0
	Text         Opcode = 1
	Binary       Opcode = 2
	CloseFrame   Opcode = 8
	Ping         Opcode = 9
	Pong         Opcode = 10
)

// Status codes of RFC 6455, section 7.4.1.
const (
	StatusNormal      = 1000
	StatusGoingAway   = 1001
	StatusProtocol    = 1002
	StatusUnsupported = 1003
	StatusNoCode      = 1005
	StatusInvalid     = 1007
	StatusTooBig      = 1009
	StatusTryLater    = 1013 // registered with IANA after the RFC
)

// CloseError is the reason why a connection ends, with its status code.
type CloseError struct {
	Code   int
	Reason string
	Peer   bool // the peer sent the close frame
}

func (e *CloseError) Error() string { return fmt.Sprintf("closed with %d: %s", e.Code, e.Reason) }

func protocolError(format string, args ...any) error {
	return &CloseError{Code: StatusProtocol, Reason: fmt.Sprintf(format, args...)}
}

func (o Opcode) control() bool { return o >= CloseFrame }

// header is a decoded frame header.
type header struct {
	final  bool
	opcode Opcode
	length uint64
	mask   [4]byte
}

// readHeader reads and checks the header of a client's frame.
func readHeader(r io.Reader) (h header, err error) {
	var b [8]byte
	if _, err = io.ReadFull(r, b[:2]); err != nil {
		return h, err
	}
	h.final, h.opcode, h.length = b[0]&0x80 != 0, Opcode(b[0]&0x0f), uint64(b[1]&0x7f)
	switch {
	case b[0]&0x70 != 0:
		return h, protocolError("reserved bits set")
	case h.opcode > Binary && h.opcode < CloseFrame || h.opcode > Pong:
		return h, protocolError("unknown opcode %d", h.opcode)
	case b[1]&0x80 == 0:
		return h, protocolError("unmasked frame")
	case h.opcode.control() && (!h.final || h.length > 125):
		return h, protocolError("control frame fragmented or over 125 bytes")
	}
	size, minLength := 0, uint64(0)
	switch h.length {
	case 126:
		size, minLength = 2, 126
	case 127:
		size, minLength = 8, 1<<16
	}
	if size > 0 {
		if _, err = io.ReadFull(r, b[8-size:]); err != nil {
			return h, unexpectedEOF(err)
		}
		clear(b[:8-size])
		if h.length = binary.BigEndian.Uint64(b[:]); h.length < minLength || h.length>>63 != 0 {
			return h, protocolError("length %d in a longer form than needed", h.length)
		}
	}
	_, err = io.ReadFull(r, h.mask[:])
	return h, unexpectedEOF(err)
}

// unexpectedEOF turns io.EOF inside a frame into io.ErrUnexpectedEOF, to tell it from an end between two
// frames.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// AppendFrame appends a server's frame, which is unfragmented and unmasked.
func AppendFrame(b []byte, op Opcode, payload []byte) []byte {
	b = append(b, 0x80|byte(op))
	switch n := len(payload); {
	case n < 126:
		b = append(b, byte(n))
	case n < 1<<16:
		b = binary.BigEndian.AppendUint16(append(b, 126), uint16(n))
	default:
		b = binary.BigEndian.AppendUint64(append(b, 127), uint64(n))
	}
	return append(b, payload...)
}

// AppendClose appends a close frame. A reason over 123 bytes, the limit of a control frame, is shortened.
func AppendClose(b []byte, code int, reason string) []byte {
	if code == StatusNoCode {
		return AppendFrame(b, CloseFrame, nil)
	}
	for len(reason) > 123 || !utf8.ValidString(reason) {
		reason = reason[:len(reason)-1]
	}
	payload := binary.BigEndian.AppendUint16(nil, uint16(code))
	return AppendFrame(b, CloseFrame, append(payload, reason...))
}

// parseClose returns the error for a close frame's payload.
func parseClose(p []byte) error {
	e := &CloseError{Code: StatusNoCode, Peer: true}
	if len(p) == 0 {
		return e
	}
	if len(p) == 1 {
		return protocolError("close frame of one byte")
	}
	e.Code, e.Reason = int(binary.BigEndian.Uint16(p)), string(p[2:])
	switch {
	case !utf8.Valid(p[2:]):
		return &CloseError{Code: StatusInvalid, Reason: "close reason is not UTF-8"}
	case e.Code < 1000 || e.Code > 4999 || e.Code >= 1004 && e.Code <= 1006 ||
		e.Code >= 1015 && e.Code < 3000:
		return protocolError("close code %d", e.Code)
	}
	return e
}

// Reader assembles frames into messages.
type Reader struct {
	In              *bufio.Reader
	MaxMessageBytes int // maximum size of a message
	// Hold is told how many bytes of an unfinished message there are going to be, before they are read. Its error ends
	// the connection. It may be nil.
	Hold func(bytes int) error

	op   Opcode // of the message being assembled; 0: none
	data []byte
}

// Unfinished reports whether a part of a fragmented message was read.
func (r *Reader) Unfinished() bool { return r.op != 0 }

// Next reads one frame. It returns a complete message, or a single ping or pong; otherwise ok is false and
// the caller reads the next frame. A close frame is returned as a *CloseError.
func (r *Reader) Next() (op Opcode, data []byte, ok bool, err error) {
	h, err := readHeader(r.In)
	if err != nil {
		return 0, nil, false, err
	}
	if h.opcode.control() {
		return r.readControl(h)
	}
	switch {
	case h.length > uint64(r.MaxMessageBytes-len(r.data)):
		return 0, nil, false, &CloseError{Code: StatusTooBig, Reason: fmt.Sprintf("more than %d bytes", r.MaxMessageBytes)}
	case h.opcode == Continuation && r.op == 0:
		return 0, nil, false, protocolError("continuation of nothing")
	case h.opcode != Continuation && r.op != 0:
		return 0, nil, false, protocolError("a message inside another")
	case h.opcode != Continuation:
		r.op = h.opcode
	}
	if err := r.readData(h); err != nil || !h.final {
		return 0, nil, false, err
	}
	op, data = r.op, r.data
	r.op, r.data = 0, nil
	if op == Text && !utf8.Valid(data) {
		return 0, nil, false, &CloseError{Code: StatusInvalid, Reason: "text is not UTF-8"}
	}
	return op, data, true, nil
}

// readControl reads the payload of a control frame.
func (r *Reader) readControl(h header) (op Opcode, data []byte, ok bool, err error) {
	payload, err := appendPart(nil, r.In, h, 0, int(h.length))
	if err == nil && h.opcode == CloseFrame {
		err = parseClose(payload)
	}
	return h.opcode, payload, err == nil, err
}

// payloadPart is how much of a payload is read at a time: a message takes memory for what has come of it, not for what
// its header announces.
const payloadPart = 4 << 10

// readData adds a data frame's payload to the message.
func (r *Reader) readData(h header) (err error) {
	length := int(h.length)
	for read := 0; read < length && err == nil; {
		part := min(length-read, payloadPart)
		if r.Hold != nil {
			if err := r.Hold(len(r.data) + part); err != nil {
				return err
			}
		}
		r.data, err = appendPart(r.data, r.In, h, read, part)
		read += part
	}
	return err
}

// appendPart reads a part of a frame's payload, which begins at offset, and appends it to b, unmasked.
func appendPart(b []byte, in io.Reader, h header, offset, length int) ([]byte, error) {
	b = slices.Grow(b, length)
	next := b[len(b) : len(b)+length]
	if _, err := io.ReadFull(in, next); err != nil {
		return b, unexpectedEOF(err)
	}
	for i := range next {
		next[i] ^= h.mask[(offset+i)%4]
	}
	return b[:len(b)+length], nil
}
