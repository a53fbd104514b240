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

// scriptedServer is a bulletin whose answers the test supplies, and which records the queries.
type scriptedServer struct {
	addr    string
	queries chan string // the URL query of each call
}

// startScriptedServer starts a bulletin. answer writes the n-th answer and reports whether its connection
// stays open.
func startScriptedServer(t *testing.T, answer func(n int, w net.Conn) bool) *scriptedServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	s := &scriptedServer{addr: ln.Addr().String(), queries: make(chan string, 100000)}
	n := 0
	go func() { // one connection at a time: a second concurrent poll would get no answer
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

// eventJSON returns an event that lists one server.
func eventJSON(no int, status string) string {
	return fmt.Sprintf(`{"no":%d,"roster":{"endpoints":[{"name":"a","address":"x:1","status":%q}]}}`, no, status)
}

// httpAnswer returns an HTTP answer with events. no is the number of the answer, normally that of its
// last event.
func httpAnswer(no int, items ...string) string {
	b := fmt.Sprintf(`{"no":%d,"items":[%s]}`, no, strings.Join(items, ","))
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
}

// TestNoTightLoop checks that the follower pauses between polls of a bulletin that answers at once but without
// news: with no events, an old number, events already applied, events that it always leaves out, an error
// status, two answers to one call, or an item without a roster.
func TestNoTightLoop(t *testing.T) {
	for name, answer := range map[string]string{
		"empty":        httpAnswer(1),
		"old number":   httpAnswer(0),
		"already seen": httpAnswer(1, eventJSON(1, "up")),
		"never comes":  httpAnswer(7),
		"error status": "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n",
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
			assert.GreaterOrEqual(t, time.Since(began), 3*f.RetryDelay/2, "no pause after the first answer, which had news; a pause before each of the third, fourth and fifth call")
		})
	}
}

// TestMissingEvents checks that an event left out of an answer is requested once more and applied before the
// later ones. If it is left out again it is given up, and does not block the rest.
func TestMissingEvents(t *testing.T) {
	for _, tc := range []struct {
		name    string
		answers []string
		want    []string // parts of the updates, in order: name, pool (-1: none) and state (0: up, 1: draining)
	}{
		{"comes when asked again", []string{httpAnswer(3, eventJSON(1, "up"), eventJSON(3, "up")), httpAnswer(3, eventJSON(2, "draining"), eventJSON(3, "up"))}, []string{"a -1 0", "a -1 1", "a -1 0"}},
		{"never comes", []string{httpAnswer(3, eventJSON(1, "up"), eventJSON(3, "draining")), httpAnswer(3, eventJSON(3, "draining"))}, []string{"a -1 0", "a -1 1"}},
		{"the answer's number is above its last event", []string{httpAnswer(2, eventJSON(1, "up")), httpAnswer(2, eventJSON(2, "draining"))}, []string{"a -1 0", "a -1 1"}},
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

// TestSlowAnswer checks that an answer that arrives byte by byte and misses its deadline gets more time on
// the next call.
func TestSlowAnswer(t *testing.T) {
	answer := httpAnswer(1, eventJSON(1, "up"))
	s := startScriptedServer(t, func(_ int, w net.Conn) bool {
		for i := range answer { // 0.7 s in all, while PollWait and Grace add up to 0.5 s
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

// TestOversizedAnswer checks that an endless answer is cut off at the limit of its head or body.
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
				written := 0
				for junk := make([]byte, 64<<10); ; written += len(junk) {
					if _, err := w.Write(junk); err != nil {
						break
					}
				}
				sent <- written
				return false
			})
			c, _ := startFollower(t, s.addr)
			assert.Less(t, standin.Next(t, sent), maxBodyBytes+maxHeadBytes+(24<<20), "bytes sent: no more than the limits and what the kernel buffers")
			c.nextUpdate(t)
		})
	}
}
