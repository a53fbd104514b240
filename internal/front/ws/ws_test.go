package ws

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// clientFrame encodes a client's frame, with a non-zero mask so that a missing unmasking is noticed.
func clientFrame(first byte, payload string) string {
	mask := []byte{1, 2, 3, 4}
	b := []byte{first, 0x80 | byte(len(payload))}
	if len(payload) > 125 {
		b = []byte{first, 0x80 | 126, byte(len(payload) >> 8), byte(len(payload))}
	}
	b = append(b, mask...)
	for i := range payload {
		b = append(b, payload[i]^mask[i%4])
	}
	return string(b)
}

func TestMessages(t *testing.T) {
	long := strings.Repeat("y", 300)
	for _, tc := range []struct {
		name, in string
		want     string // messages, each preceded by its opcode
		code     int    // of the close error; 0: the input just ends
	}{
		{"text", clientFrame(0x81, "hello"), "1hello ", 0},
		{"empty text", clientFrame(0x81, ""), "1 ", 0},
		{"two-byte length", clientFrame(0x81, long), "1" + long + " ", 0},
		{"fragmented", clientFrame(0x01, "he") + clientFrame(0x00, "ll") + clientFrame(0x80, "o"), "1hello ", 0},
		{"ping between fragments", clientFrame(0x01, "a") + clientFrame(0x89, "p") + clientFrame(0x80, "b"), "9p 1ab ", 0},
		{"ping when little is left", clientFrame(0x01, long) + clientFrame(0x00, long) + clientFrame(0x00, long) + clientFrame(0x89, long[:120]) +
			clientFrame(0x80, ""), "9" + long[:120] + " 1" + long + long + long + " ", 0},
		{"binary", clientFrame(0x82, "x"), "2x ", 0},
		{"unmasked", "\x81\x05hello", "", StatusProtocol},
		{"reserved bit", clientFrame(0xc1, "x"), "", StatusProtocol},
		{"unknown opcode", clientFrame(0x83, "x"), "", StatusProtocol},
		{"unknown control opcode", clientFrame(0x8b, "x"), "", StatusProtocol},
		{"fragmented ping", clientFrame(0x09, "x"), "", StatusProtocol},
		{"long ping", clientFrame(0x89, long), "", StatusProtocol},
		{"continuation of nothing", clientFrame(0x80, "x"), "", StatusProtocol},
		{"message inside a message", clientFrame(0x01, "x") + clientFrame(0x81, "y"), "", StatusProtocol},
		{"longer form than needed", "\x81\xfe\x00\x05\x00\x00\x00\x00hello", "", StatusProtocol},
		{"length over 63 bits", "\x81\xff\xff\xff\xff\xff\xff\xff\xff\xff\x00\x00\x00\x00", "", StatusProtocol},
		{"oversized", "\x81\xff\x00\x00\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00", "", StatusTooBig},
		{"oversized in fragments", strings.Repeat(clientFrame(0x01, long), 1) + strings.Repeat(clientFrame(0x00, long), 4), "", StatusTooBig},
		{"not UTF-8", clientFrame(0x81, "\xff\xfe"), "", StatusInvalid},
		{"close", clientFrame(0x88, "\x03\xe8bye"), "", StatusNormal},
		{"close without a code", clientFrame(0x88, ""), "", StatusNoCode},
		{"close of one byte", clientFrame(0x88, "\x03"), "", StatusProtocol},
		{"close code out of use", clientFrame(0x88, "\x03\xee"), "", StatusProtocol},
		{"close reason not UTF-8", clientFrame(0x88, "\x03\xe8\xff"), "", StatusInvalid},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, got := Reader{In: bufio.NewReader(strings.NewReader(tc.in)), MaxMessageBytes: 1000}, ""
			for {
				op, data, ok, err := r.Next()
				if err != nil {
					var closed *CloseError
					if tc.code == 0 {
						require.ErrorIs(t, err, io.EOF)
					} else if assert.ErrorAs(t, err, &closed) {
						assert.Equal(t, tc.code, closed.Code)
					}
					break
				}
				if ok {
					got += string('0'+op) + string(data) + " "
				}
			}
			assert.Equal(t, tc.want, got)
		})
	}
}

// TestEndInsideAFrame checks that an end inside a frame is distinguished from one between two frames.
func TestEndInsideAFrame(t *testing.T) {
	complete := clientFrame(0x81, strings.Repeat("z", 200))
	for n := 1; n < len(complete); n++ {
		_, _, _, err := (&Reader{In: bufio.NewReader(strings.NewReader(complete[:n])), MaxMessageBytes: 1000}).Next()
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, "%d bytes", n)
	}
}

func TestUpgrade(t *testing.T) {
	const good = "GET /calls HTTP/1.1\r\nHost: x\r\nUpgrade: WebSocket\r\nConnection: keep-alive, Upgrade\r\n" +
		"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n"
	e := Endpoint{Path: "/calls", Subprotocol: "p.v1", Origins: []string{"https://good"},
		Allow: func(r *http.Request) int {
			if r.Header.Get("Authorization") == "bad" {
				return http.StatusUnauthorized
			}
			return 0
		}}
	for _, tc := range []struct{ name, in, want string }{
		// The key and its answer are those of RFC 6455, section 1.3.
		{"good", good, "101 s3pPLMBiTxaQ9kYGzzhZRbK+xOo="},
		{"subprotocol", good + "Sec-WebSocket-Protocol: a, p.v1\r\n", "101 Sec-WebSocket-Protocol: p.v1"},
		{"known origin", good + "Origin: https://good\r\n", "101 "},
		{"unknown origin", good + "Origin: https://bad\r\n", "403 "},
		{"not allowed", good + "Authorization: bad\r\n", "401 WWW-Authenticate"},
		{"other path", strings.Replace(good, "/calls", "/", 1), "404 "},
		{"other method", strings.Replace(good, "GET", "POST", 1), "405 "},
		{"old HTTP", strings.Replace(good, "1.1", "1.0", 1), "400 "},
		{"no upgrade", strings.Replace(good, "Upgrade: W", "Not: w", 1), "426 Sec-WebSocket-Version: 13"},
		{"other version", strings.Replace(good, "13", "8", 1), "426 "},
		{"short key", strings.Replace(good, "dGhlIHNhbXBsZSBub25jZQ==", "dGhl", 1), "400 "},
		{"not HTTP", "hello\r\n", "400 "},
		{"many fields", good + strings.Repeat("a: b\r\n", maxHeadLines-10), "101 "},
		{"too many fields", good + strings.Repeat("a: b\r\n", maxHeadLines), "431 "},
		{"line feeds alone", strings.ReplaceAll(good, "\r", ""), "101 "},
		{"endless", "GET /calls HTTP/1.1\r\nA: " + strings.Repeat("a", 2*maxRequestBytes), "400 "},
	} {
		t.Run(tc.name, func(t *testing.T) {
			in := bufio.NewReaderSize(strings.NewReader(tc.in+"\r\nrest"), 1<<17)
			response, _, err := e.Upgrade(ReadHead(in))
			status, detail, _ := strings.Cut(tc.want, " ")
			assert.Contains(t, string(response), "HTTP/1.1 "+status+" ")
			assert.Contains(t, string(response), detail)
			if assert.Equal(t, status == "101", err == nil) && err == nil {
				rest, _ := io.ReadAll(in)
				assert.Equal(t, "rest", string(rest), "what follows the request is left unread")
			}
		})
	}
}

// FuzzNext checks that no input makes the reader panic.
func FuzzNext(f *testing.F) {
	f.Add([]byte(clientFrame(0x01, "a") + clientFrame(0x89, "p") + clientFrame(0x80, "b")))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := Reader{In: bufio.NewReader(strings.NewReader(string(in))), MaxMessageBytes: 100}
		for {
			_, data, _, err := r.Next()
			if err != nil {
				return
			}
			require.LessOrEqual(t, len(data), 125)
		}
	})
}
