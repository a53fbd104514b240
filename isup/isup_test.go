package isup

import (
	"bytes"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// frame puts a body's length in front of it.
func frame(body string) string { return string([]byte{byte(len(body) >> 8), byte(len(body))}) + body }

const id = "\x7f\x3a\x9c\x21\xe0\xb4\xd6\x55"

func TestRead(t *testing.T) {
	for _, tc := range []struct {
		name, in string
		want     Message
		err      error
	}{
		{"set-up", frame("\x01" + id + "\x10\x00\x05voice\x11\x00\x041500"), Message{Type: SetUp, Call: 0x7f3a9c21e0b4d655,
			Values: []Value{{Class, []byte("voice")}, {TimeLeft, []byte("1500")}}}, nil},
		{"no parameters", frame("\x06" + id), Message{Type: Progress, Call: 0x7f3a9c21e0b4d655}, nil},
		{"unknown parameter kept", frame("\x06" + id + "\xee\x00\x00"), Message{Type: Progress, Call: 0x7f3a9c21e0b4d655,
			Values: []Value{{0xee, []byte{}}}}, nil},
		{"nothing", "", Message{}, io.EOF},
		{"half a length", "\x00", Message{}, io.ErrUnexpectedEOF},
		{"cut off", frame("\x01" + id)[:6], Message{}, io.ErrUnexpectedEOF},
		{"length only", "\x00\x20", Message{}, io.ErrUnexpectedEOF},
		{"too short for a call", frame("\x01\x02"), Message{}, ErrShort},
		{"oversized", "\x40\x01" + strings.Repeat("x", MaxMessageBytes+1), Message{}, ErrOversized},
		{"parameter over the end", frame("\x01" + id + "\x10\x00\x06voice"), Message{}, ErrParameter},
		{"as many parameters as may be", frame("\x06" + id + strings.Repeat("\xee\x00\x00", MaxParameters)), Message{Type: Progress, Call: 0x7f3a9c21e0b4d655,
			Values: slices.Repeat([]Value{{0xee, []byte{}}}, MaxParameters)}, nil},
		{"more parameters", frame("\x06" + id + strings.Repeat("\xee\x00\x00", MaxParameters+1)), Message{}, ErrTooMany},
		{"half a parameter head", frame("\x01" + id + "\x10\x00"), Message{}, ErrParameter},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := Read(strings.NewReader(tc.in))
			if tc.err != nil {
				require.ErrorIs(t, err, tc.err)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, tc.want, got)
			back, err := got.Append(nil)
			require.NoError(t, err)
			assert.Equal(t, tc.in, string(back), "encodes to the bytes that were read")
		})
	}
}

func TestValues(t *testing.T) {
	m := Message{Type: Release}.WithCause(NoCircuit).WithText(Note, "overload").WithMillis(RetryAfter, 1500*time.Millisecond)
	cause, err := m.Cause()
	require.NoError(t, err)
	assert.Equal(t, NoCircuit, cause)
	assert.Equal(t, "overload", m.Text(Note))
	d, err := m.Millis(RetryAfter)
	require.NoError(t, err)
	assert.Equal(t, 1500*time.Millisecond, d)
	for _, invalid := range []string{"", "-1", "soon", "99999999999"} {
		_, err := Message{}.WithText(TimeLeft, invalid).Millis(TimeLeft)
		assert.Error(t, err, "%q", invalid)
	}
	_, err = Message{}.With(CauseCode, []byte{1, 2}).Cause()
	assert.Error(t, err, "a cause is one byte")
	_, err = Message{}.With(Description, make([]byte, MaxMessageBytes)).Append(nil)
	assert.ErrorIs(t, err, ErrOversized)
}

func TestCallID(t *testing.T) {
	for in, ok := range map[string]bool{"7f3a9c21e0b4d655": true, "0000000000000001": true, "1": false,
		"7f3a9c21e0b4d65g": false, "+f3a9c21e0b4d655": false, "": false} {
		got, err := ParseCallID(in)
		if assert.Equal(t, ok, err == nil, in) && ok {
			assert.Equal(t, in, got.String())
		}
	}
}

func TestEachField(t *testing.T) {
	for in, want := range map[string]string{"": "", "x0:12;x1:40": "x0=12 x1=40 ", "a:;;b:c:d": "a= b=c:d ", "a": "error"} {
		got := ""
		if err := EachField(in, func(n, v string) { got += n + "=" + v + " " }); err != nil {
			got = "error"
		}
		assert.Equal(t, want, got, "%q", in)
	}
}

// FuzzRead checks that no input makes the reader panic, and that a message that was read encodes to the same
// bytes.
func FuzzRead(f *testing.F) {
	f.Add([]byte(frame("\x01" + id + "\x10\x00\x05voice")))
	f.Fuzz(func(t *testing.T, in []byte) {
		m, err := Read(bytes.NewReader(in))
		if err != nil {
			return
		}
		out, err := m.Append(nil)
		require.NoError(t, err)
		require.Equal(t, in[:len(out)], out)
	})
}

// TestParsePartial checks that a truncated message yields its type and the received part of its call id.
func TestParsePartial(t *testing.T) {
	complete, err := Message{Type: Release, Call: 0x1122334455667788}.WithCause(Normal).Append(nil)
	require.NoError(t, err)
	for n, want := range map[int]string{0: "", 2: "", 3: "", 4: "11", 10: "11223344556677", 11: "1122334455667788", 15: "1122334455667788"} {
		kind, call, ok := ParsePartial(complete[:n])
		assert.Equal(t, n > 2, ok, n)
		assert.Equal(t, want, call, n)
		if ok {
			assert.Equal(t, Release, kind)
		}
	}
}
