package bulletin

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/internal/standin"
)

// scripted is a bulletin that answers the n-th call as the test says, and counts what it is asked.
type scripted struct {
	addr  string
	asked chan string // the query of each call
}

// script answers calls; answer writes the n-th one and reports whether its connection stays.
func script(t *testing.T, answer func(n int, w net.Conn) bool) *scripted {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	s := &scripted{addr: ln.Addr().String(), asked: make(chan string, 100000)}
	n := 0
	go func() { // one connection at a time: a second watch beside the first would find nobody
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			for in := bufio.NewReader(conn); ; {
				r, err := http.ReadRequest(in)
				if err != nil {
					break
				}
				s.asked <- r.URL.RawQuery
				n++
				if !answer(n, conn) {
					break
				}
			}
			conn.Close()
		}
	}()
	return s
}

// event words an event that lists one server.
func event(no int, status string) string {
	return fmt.Sprintf(`{"no":%d,"roster":{"endpoints":[{"name":"a","address":"x:1","status":%q}]}}`, no, status)
}

func body(no int, items ...string) string {
	b := fmt.Sprintf(`{"no":%d,"items":[%s]}`, no, strings.Join(items, ","))
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
}

// TestNoTightLoop: a bulletin that answers at once and tells nothing new is not asked again at
// once: an old number, events told before, none at all, or one that is left out for good.
func TestNoTightLoop(t *testing.T) {
	for name, answer := range map[string]string{
		"empty":        body(1),
		"old number":   body(0),
		"told before":  body(1, event(1, "up")),
		"never comes":  body(7),
		"no answer":    "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n",
		"two answers":  body(1) + body(1),
		"not an event": body(1, `{"no":1}`),
	} {
		t.Run(name, func(t *testing.T) {
			s := script(t, func(n int, w net.Conn) bool {
				if n == 1 {
					w.Write([]byte(body(1, event(1, "up"))))
					return true
				}
				_, err := w.Write([]byte(answer))
				return err == nil
			})
			c, f := follow(t, s.addr)
			c.next(t)
			began := time.Now()
			for range 5 {
				standin.Next(t, s.asked)
			}
			assert.GreaterOrEqual(t, time.Since(began), 3*f.Retry/2, "the first call told news; a pause before the third to the fifth")
		})
	}
}

// TestGap: an event that an answer left out is asked for once more, and told before those after
// it. What is left out again at the same place is not to be had, and does not hold up the rest.
func TestGap(t *testing.T) {
	for _, tc := range []struct {
		name    string
		answers []string
		want    []string
	}{
		{"comes when asked again", []string{body(3, event(1, "up"), event(3, "up")), body(3, event(2, "draining"), event(3, "up"))}, []string{"a -1 0", "a -1 1", "a -1 0"}},
		{"never comes", []string{body(3, event(1, "up"), event(3, "draining")), body(3, event(3, "draining"))}, []string{"a -1 0", "a -1 1"}},
		{"the answer stops short of its number", []string{body(2, event(1, "up")), body(2, event(2, "draining"))}, []string{"a -1 0", "a -1 1"}},
		{"the rest comes in parts", []string{body(3, event(1, "up")), body(3, event(2, "draining")), body(3, event(3, "up"))}, []string{"a -1 0", "a -1 1", "a -1 0"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := script(t, func(n int, w net.Conn) bool {
				if n <= len(tc.answers) {
					w.Write([]byte(tc.answers[n-1]))
					return true
				}
				return false
			})
			c, _ := follow(t, s.addr)
			for _, want := range tc.want {
				assert.Contains(t, c.next(t), want)
			}
		})
	}
}

// TestSlow: an answer that comes byte by byte, past its time, is given longer the next time.
func TestSlow(t *testing.T) {
	answer := body(1, event(1, "up"))
	s := script(t, func(_ int, w net.Conn) bool {
		for i := range answer { // 0.7 s in all; patience and grace are 0.5 s
			if _, err := w.Write([]byte(answer[i : i+1])); err != nil {
				return false
			}
			time.Sleep(700 * time.Millisecond / time.Duration(len(answer)))
		}
		return true
	})
	c, _ := follow(t, s.addr)
	c.next(t)
}

// TestEndless: an answer without end is cut off at its bound, wherever it has none.
func TestEndless(t *testing.T) {
	for name, begin := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX: ", "body": "HTTP/1.1 200 OK\r\n\r\n", "length": "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 10)
			s := script(t, func(n int, w net.Conn) bool {
				if n > 1 {
					w.Write([]byte(body(1, event(1, "up"))))
					return false
				}
				w.Write([]byte(begin))
				all := 0
				for junk := make([]byte, 64<<10); ; all += len(junk) {
					if _, err := w.Write(junk); err != nil {
						break
					}
				}
				sent <- all
				return false
			})
			c, _ := follow(t, s.addr)
			assert.Less(t, standin.Next(t, sent), maxAnswer+maxHead+(24<<20), "and what the kernel holds on top")
			c.next(t)
		})
	}
}
