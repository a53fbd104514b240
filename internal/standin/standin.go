// Package standin provides stand-ins for an agent's peers in tests: a setup server, a caller, a bulletin
// and the agent behind a front. They run on loopback, and every wait in them is bounded.
package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"woodrouter/isup"
)

// WaitTimeout is how long a test waits for something that must happen. It is generous, as only a failing
// test waits that long.
const WaitTimeout = 10 * time.Second

// Conn is a connection for messages of the binary signalling protocol.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
}

// Send writes a message.
func (c *Conn) Send(m isup.Message) {
	b, err := m.Append(nil)
	if err == nil {
		_, err = c.Write(b)
	}
	_ = err // if the connection is closed, the test fails where it waits for an effect
}

// Received is a message that a setup server received, with its connection and time.
type Received struct {
	isup.Message
	Conn *Conn
	At   time.Time
}

// Server is a setup server that leaves all answers to the test. On each new connection it first sends its
// group's state. Received messages are passed to the test in order.
type Server struct {
	Addr     string
	Received chan Received // messages in order; dropped while the channel is full
	Closed   chan *Conn    // connections that the agent closed

	mu      sync.Mutex
	ln      net.Listener
	conns   []*Conn
	history []Received // all messages so far
	crashed bool
}

// NewServer starts a setup server on a free port, or on addr if it is not "".
func NewServer(t testing.TB, addr string) *Server {
	t.Helper()
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	return serveOn(t, ln)
}

// Replace ends the process as Crash does and starts another on the same listening socket, so that no connection is
// refused between the two.
func (s *Server) Replace(t testing.TB) *Server {
	t.Helper()
	file, err := s.ln.(*net.TCPListener).File()
	require.NoError(t, err)
	defer file.Close()
	ln, err := net.FileListener(file)
	require.NoError(t, err)
	next := serveOn(t, ln)
	s.Crash()
	return next
}

// serveOn starts a setup server on a listening socket.
func serveOn(t testing.TB, ln net.Listener) *Server {
	s := &Server{Addr: ln.Addr().String(), Received: make(chan Received, 1000), Closed: make(chan *Conn, 1000), ln: ln}
	go s.accept()
	t.Cleanup(s.Crash)
	return s
}

func (s *Server) accept() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		c := &Conn{conn, bufio.NewReader(conn)}
		if !s.add(c) {
			continue
		}
		c.Send(isup.Message{Type: isup.GroupState}.WithText(isup.Report, "x0:900;x1:1000"))
		go s.serve(c)
	}
}

// add records a connection. One that was accepted just before a crash is reset like the others.
func (s *Server) add(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		c.Reset()
		return false
	}
	s.conns = append(s.conns, c)
	return true
}

// Reset closes the connection as the end of its process does.
func (c *Conn) Reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

func (s *Server) serve(c *Conn) {
	for {
		m, err := isup.Read(c.Reader)
		if err != nil {
			select {
			case s.Closed <- c:
			default: // the channel is full: the test does not read it
			}
			return
		}
		g := Received{m, c, time.Now()}
		s.mu.Lock()
		s.history = append(s.history, g)
		s.mu.Unlock()
		select {
		case s.Received <- g:
		default: // the channel is full: the test does not read it
		}
	}
}

// Await returns the next message of a type and skips others before it. It fails the test after WaitTimeout.
func (s *Server) Await(t testing.TB, want isup.Type) Received {
	t.Helper()
	for deadline := time.After(WaitTimeout); ; {
		select {
		case g := <-s.Received:
			if g.Type == want {
				return g
			}
		case <-deadline:
			require.FailNow(t, "setup server: no message", "of type %d", want)
		}
	}
}

// Count returns the number of messages of a type received for a call; id 0 means any call.
func (s *Server) Count(want isup.Type, id isup.CallID) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.history {
		if g.Type == want && (id == 0 || g.Call == id) {
			n++
		}
	}
	return n
}

// StopListening closes the listener, so that new connections are refused. Open ones stay.
func (s *Server) StopListening() { s.ln.Close() }

// Conns returns the connections accepted so far.
func (s *Server) Conns() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Conn(nil), s.conns...)
}

// Crash closes the listener and resets all connections, as when a process is killed.
func (s *Server) Crash() {
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed = true
	for _, c := range s.conns {
		c.Reset()
	}
}

// Answer answers a set-up, so that its call stands.
func (g Received) Answer(description string) {
	g.Conn.Send(isup.Message{Type: isup.Answer, Call: g.Call}.WithText(isup.Description, description))
}

// Release refuses a set-up or ends a call.
func (g Received) Release(c isup.Cause, note string) {
	m := isup.Message{Type: isup.Release, Call: g.Call}.WithCause(c)
	if note != "" {
		m = m.WithText(isup.Note, note)
	}
	g.Conn.Send(m)
}

// Caller is a connection from callers to an agent.
type Caller struct{ Conn }

// NewCaller connects to a call agent.
func NewCaller(t testing.TB, addr string) *Caller {
	t.Helper()
	conn, err := net.DialTimeout("tcp", addr, WaitTimeout)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return &Caller{Conn{conn, bufio.NewReader(conn)}}
}

// SetUp sends a set-up.
func (c *Caller) SetUp(id isup.CallID, class string, left time.Duration, dest int) {
	c.Send(isup.Message{Type: isup.SetUp, Call: id}.WithText(isup.Class, class).WithMillis(isup.TimeLeft, left).
		WithText(isup.Number, fmt.Sprint(id)).WithText(isup.Figures, fmt.Sprintf("dest:%d;width:1;via:-1", dest)).
		WithText(isup.Description, "offer "+id.String()))
}

// Next returns the next message, or an error if the connection ends or WaitTimeout passes.
func (c *Caller) Next() (isup.Message, error) {
	c.SetReadDeadline(time.Now().Add(WaitTimeout))
	return isup.Read(c.Reader)
}

// Await returns the next message and fails the test unless it has this type and call.
func (c *Caller) Await(t testing.TB, want isup.Type, id isup.CallID) isup.Message {
	t.Helper()
	m, err := c.Next()
	require.NoError(t, err)
	require.Equal(t, want, m.Type)
	require.Equal(t, id, m.Call)
	return m
}

// Bulletin serves events with lists of setup servers by long poll.
type Bulletin struct {
	Addr string

	mu          sync.Mutex
	events      []map[string]any
	changed     chan struct{}
	lastFetched int
}

// Endpoint returns the list entry of a setup server.
func Endpoint(name, addr string, group int, status string) map[string]any {
	return map[string]any{"name": name, "address": addr, "zone": "z", "type": "std", "group": group,
		"status": status, "weight": 1, "since_ms": 0}
}

// NewBulletin starts a bulletin whose first event is the whole list with these entries.
func NewBulletin(t testing.TB, entries ...map[string]any) *Bulletin {
	b := &Bulletin{changed: make(chan struct{})}
	b.AddEvent(true, entries...)
	srv := httptest.NewServer(b)
	b.Addr = srv.Listener.Addr().String()
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return b
}

// AddEvent adds an event: a snapshot of the whole list, or only the entries that changed.
func (b *Bulletin) AddEvent(snapshot bool, entries ...map[string]any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.events) + 1
	b.events = append(b.events, map[string]any{"no": n,
		"roster": map[string]any{"index": n, "snapshot": snapshot, "endpoints": entries}})
	close(b.changed)
	b.changed = make(chan struct{})
}

// EventsAfter returns the events after a number, in the form of a bulletin's answer.
func (b *Bulletin) EventsAfter(after int) map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	after = min(after, len(b.events))
	return map[string]any{"no": len(b.events), "items": b.events[after:]}
}

// AllFetched reports whether the agent has fetched all events: it has asked for later ones.
func (b *Bulletin) AllFetched() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastFetched >= len(b.events)
}

// ServeHTTP answers a poll when there are events after the given number, or when its patience has passed.
func (b *Bulletin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	patience, _ := strconv.Atoi(r.URL.Query().Get("patience"))
	b.mu.Lock()
	b.lastFetched = max(b.lastFetched, after)
	changed, count := b.changed, len(b.events)
	b.mu.Unlock()
	if after >= count {
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(patience) * time.Millisecond):
		}
	}
	json.NewEncoder(w).Encode(b.EventsAfter(after))
}
