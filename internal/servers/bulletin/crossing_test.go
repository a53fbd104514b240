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

// scriptedServer is a bulletin that answers the n-th call as the test says, and counts what it is asked.
type scriptedServer struct {
	addr    string
	queries chan string // the query of each call
}

// startScriptedServer answers calls; answer writes the n-th one and reports whether its connection stays.
func startScriptedServer(t *testing.T, answer func(n int, w net.Conn) bool) *scriptedServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	s := &scriptedServer{addr: ln.Addr().String(), queries: make(chan string, 100000)}
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
				s.queries <- r.URL.RawQuery
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

// eventJSON words an event that lists one server.
func eventJSON(no int, status string) string {
	return fmt.Sprintf(`{"no":%d,"roster":{"endpoints":[{"name":"a","address":"x:1","status":%q}]}}`, no, status)
}

func httpAnswer(no int, items ...string) string {
	b := fmt.Sprintf(`{"no":%d,"items":[%s]}`, no, strings.Join(items, ","))
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
}

// TestNoTightLoop: a bulletin that answers at once and tells nothing new is not asked again at
// once: an old number, events told before, none at all, or one that is left out for good.
func TestNoTightLoop(t *testing.T) {
	for name, answer := range map[string]string{
		"empty":        httpAnswer(1),
		"old number":   httpAnswer(0),
		"told before":  httpAnswer(1, eventJSON(1, "up")),
		"never comes":  httpAnswer(7),
		"no answer":    "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n",
		"two answers":  httpAnswer(1) + httpAnswer(1),
		"not an event": httpAnswer(1, `{"no":1}`),
	} {
		t.Run(name, func(t *testing.T) {
			s := startScriptedServer(t, func(n int, w net.Conn) bool {
				if n == 1 {
					w.Write([]byte(httpAnswer(1, eventJSON(1, "up"))))
					return true
				}
				_, err := w.Write([]byte(answer))
				return err == nil
			})
			c, f := startFollower(t, s.addr)
			c.nextUpdate(t)
			began := time.Now()
			for range 5 {
				standin.Next(t, s.queries)
			}
			assert.GreaterOrEqual(t, time.Since(began), 3*f.RetryDelay/2, "the first call told news; a pause before the third to the fifth")
		})
	}
}

// TestMissingEvents: an event that an answer left out is asked for once more, and told before those after
// it. What is left out again at the same place is not to be had, and does not hold up the rest.
func TestMissingEvents(t *testing.T) {
	for _, tc := range []struct {
		name    string
		answers []string
		want    []string
	}{
		{"comes when asked again", []string{httpAnswer(3, eventJSON(1, "up"), eventJSON(3, "up")), httpAnswer(3, eventJSON(2, "draining"), eventJSON(3, "up"))}, []string{"a -1 0", "a -1 1", "a -1 0"}},
		{"never comes", []string{httpAnswer(3, eventJSON(1, "up"), eventJSON(3, "draining")), httpAnswer(3, eventJSON(3, "draining"))}, []string{"a -1 0", "a -1 1"}},
		{"the answer stops short of its number", []string{httpAnswer(2, eventJSON(1, "up")), httpAnswer(2, eventJSON(2, "draining"))}, []string{"a -1 0", "a -1 1"}},
		{"the rest comes in parts", []string{httpAnswer(3, eventJSON(1, "up")), httpAnswer(3, eventJSON(2, "draining")), httpAnswer(3, eventJSON(3, "up"))}, []string{"a -1 0", "a -1 1", "a -1 0"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := startScriptedServer(t, func(n int, w net.Conn) bool {
				if n <= len(tc.answers) {
					w.Write([]byte(tc.answers[n-1]))
					return true
				}
				return false
			})
			c, _ := startFollower(t, s.addr)
			for _, want := range tc.want {
				assert.Contains(t, c.nextUpdate(t), want)
			}
		})
	}
}

// TestSlowAnswer: an answer that comes byte by byte, past its time, is given longer the next time.
func TestSlowAnswer(t *testing.T) {
	answer := httpAnswer(1, eventJSON(1, "up"))
	s := startScriptedServer(t, func(_ int, w net.Conn) bool {
		for i := range answer { // 0.7 s in all; patience and grace are 0.5 s
			if _, err := w.Write([]byte(answer[i : i+1])); err != nil {
				return false
			}
			time.Sleep(700 * time.Millisecond / time.Duration(len(answer)))
		}
		return true
	})
	c, _ := startFollower(t, s.addr)
	c.nextUpdate(t)
}

// TestOversizedAnswer: an answer without end is cut off at its bound, wherever it has none.
func TestOversizedAnswer(t *testing.T) {
	for name, begin := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX: ", "body": "HTTP/1.1 200 OK\r\n\r\n", "length": "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 10)
			s := startScriptedServer(t, func(n int, w net.Conn) bool {
				if n > 1 {
					w.Write([]byte(httpAnswer(1, eventJSON(1, "up"))))
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
			c, _ := startFollower(t, s.addr)
			assert.Less(t, standin.Next(t, sent), maxBodyBytes+maxHeadBytes+(24<<20), "and what the kernel holds on top")
			c.nextUpdate(t)
		})
	}
}
