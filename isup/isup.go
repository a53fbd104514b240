// Package isup encodes and decodes the binary call signalling between callers, call agents and setup servers.
// It deals with the format of messages only, not with their use.
package isup

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// Limits of a message. The length field may be MaxMessageBytes at most.
const (
	MaxMessageBytes = 16 << 10
	MaxParameters   = 256 // no message has more than a dozen
)

// Type is a message's type.
type Type byte

// The message types; Release also refuses a set-up and gives one up.
const (
	SetUp      Type = 1
	Progress   Type = 6
	Answer     Type = 9
	Release    Type = 12
	Released   Type = 16
	GroupState Type = 43
	Test       Type = 52
	TestResult Type = 53
)

// Param is a parameter's code.
type Param byte

// The parameters.
const (
	Class       Param = 16
	TimeLeft    Param = 17 // milliseconds
	Tenant      Param = 18
	Retry       Param = 19 // `1` on a caller's retry, else absent
	Number      Param = 20
	Figures     Param = 21
	RetryAfter  Param = 22 // milliseconds
	Note        Param = 23
	Wait        Param = 24 // milliseconds, at a full processor
	Report      Param = 25
	CauseCode   Param = 30
	Description Param = 31
)

// Cause is the value of CauseCode.
type Cause byte

// The causes.
const (
	NotPassed   Cause = 0
	Passed      Cause = 1 // in a test: a report is requested; in its result: the test was passed
	Normal      Cause = 16
	UserBusy    Cause = 17
	NoCircuit   Cause = 34
	TempFailure Cause = 41
	Congestion  Cause = 42
	Unavailable Cause = 47
	TimerExpiry Cause = 102
)

// CallID names a call; its text form is 16 hex digits.
type CallID uint64

func (id CallID) String() string {
	const digits = "0123456789abcdef"
	var b [16]byte
	for i := range b {
		b[i] = digits[id>>(60-4*i)&15]
	}
	return string(b[:])
}

// ParseCallID reads the text form.
func ParseCallID(s string) (CallID, error) {
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil || len(s) != 16 {
		return 0, fmt.Errorf("call id %q is not 16 hex digits", s)
	}
	return CallID(n), nil
}

// Value is one parameter.
type Value struct {
	Code Param
	Data []byte
}

// Message is one message.
type Message struct {
	Type   Type
	Call   CallID
	Values []Value
}

// Errors for invalid messages.
var (
	ErrOversized = errors.New("message over 16 KiB")
	ErrShort     = errors.New("message too short for its type and call")
	ErrParameter = errors.New("parameter runs over the end of the message")
	ErrTooMany   = fmt.Errorf("more than %d parameters", MaxParameters)
)

const minBodyBytes = 9 // type and call id

// HeaderBytes is the size of a message's length, type and call id.
const HeaderBytes = 2 + minBodyBytes

// Read reads one message from r. The message owns its memory. io.EOF means that r ended between two messages.
func Read(r io.Reader) (Message, error) {
	var size [2]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return Message{}, err
	}
	n := int(binary.BigEndian.Uint16(size[:]))
	switch {
	case n > MaxMessageBytes:
		return Message{}, fmt.Errorf("%w: %d bytes", ErrOversized, n)
	case n < minBodyBytes:
		return Message{}, fmt.Errorf("%w: %d bytes", ErrShort, n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return Message{}, err
	}
	return parse(body)
}

// ParsePartial reads the beginning of a truncated message: its type, and as much of its call id's text form
// as was received. ok is false if the type is missing.
func ParsePartial(b []byte) (t Type, call string, ok bool) {
	if len(b) < 3 {
		return 0, "", false
	}
	return Type(b[2]), hex.EncodeToString(b[3:min(len(b), HeaderBytes)]), true
}

// parameterHeadBytes is the size of a parameter's code and length.
const parameterHeadBytes = 3

// countParameters checks the parameters of a message and returns their number.
func countParameters(rest []byte) (n int, err error) {
	for ; len(rest) > 0; n++ {
		if len(rest) < parameterHeadBytes || int(binary.BigEndian.Uint16(rest[1:])) > len(rest)-parameterHeadBytes {
			return n, ErrParameter
		}
		if n == MaxParameters {
			return n, ErrTooMany
		}
		rest = rest[parameterHeadBytes+int(binary.BigEndian.Uint16(rest[1:])):]
	}
	return n, nil
}

// parse decodes a message without its length field.
func parse(body []byte) (Message, error) {
	m := Message{Type: Type(body[0]), Call: CallID(binary.BigEndian.Uint64(body[1:]))}
	rest := body[minBodyBytes:]
	n, err := countParameters(rest)
	if err != nil || n == 0 {
		return m, err
	}
	m.Values = make([]Value, 0, n)
	for len(rest) > 0 {
		end := parameterHeadBytes + int(binary.BigEndian.Uint16(rest[1:]))
		m.Values = append(m.Values, Value{Param(rest[0]), rest[parameterHeadBytes:end:end]})
		rest = rest[end:]
	}
	return m, nil
}

// Get returns a parameter's value, the first one if the parameter is repeated.
func (m Message) Get(code Param) ([]byte, bool) {
	for _, v := range m.Values {
		if v.Code == code {
			return v.Data, true
		}
	}
	return nil, false
}

// Text returns a parameter's value as text, "" if it is missing.
func (m Message) Text(code Param) string {
	v, _ := m.Get(code)
	return string(v)
}

// Millis parses a parameter that is a number of milliseconds.
func (m Message) Millis(code Param) (time.Duration, error) {
	n, err := strconv.ParseInt(m.Text(code), 10, 32)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("parameter %d: %q is not a number of milliseconds", code, m.Text(code))
	}
	return time.Duration(n) * time.Millisecond, nil
}

// Cause returns the message's cause.
func (m Message) Cause() (Cause, error) {
	v, ok := m.Get(CauseCode)
	if !ok || len(v) != 1 {
		return 0, fmt.Errorf("parameter %d: %d bytes instead of one", CauseCode, len(v))
	}
	return Cause(v[0]), nil
}

// With returns the message with a parameter added.
func (m Message) With(code Param, data []byte) Message {
	m.Values = append(m.Values[:len(m.Values):len(m.Values)], Value{code, data})
	return m
}

// WithText returns the message with a text parameter added.
func (m Message) WithText(code Param, text string) Message { return m.With(code, []byte(text)) }

// WithMillis returns the message with a parameter in milliseconds added.
func (m Message) WithMillis(code Param, d time.Duration) Message {
	return m.WithText(code, strconv.FormatInt(d.Milliseconds(), 10))
}

// WithCause returns the message with a cause added.
func (m Message) WithCause(c Cause) Message { return m.With(CauseCode, []byte{byte(c)}) }

// Append appends the encoded message to b, or fails if the message is too large.
func (m Message) Append(b []byte) ([]byte, error) {
	n := minBodyBytes
	for _, v := range m.Values {
		n += 3 + len(v.Data)
	}
	if n > MaxMessageBytes {
		return b, fmt.Errorf("%w: %d bytes", ErrOversized, n)
	}
	b = binary.BigEndian.AppendUint16(b, uint16(n))
	b = append(b, byte(m.Type))
	b = binary.BigEndian.AppendUint64(b, uint64(m.Call))
	for _, v := range m.Values {
		b = append(b, byte(v.Code))
		b = binary.BigEndian.AppendUint16(b, uint16(len(v.Data)))
		b = append(b, v.Data...)
	}
	return b, nil
}

// EachField calls each for the fields of a text such as "x0:12;x1:40". A field without a colon is an error.
func EachField(text string, each func(name, value string)) error {
	for part := range strings.SplitSeq(text, ";") {
		if part == "" {
			continue
		}
		name, value, ok := strings.Cut(part, ":")
		if !ok {
			return fmt.Errorf("field %q has no value", part)
		}
		each(name, value)
	}
	return nil
}
