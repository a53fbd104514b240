// Package standin holds small peers for tests: a setup server, a caller and a bulletin,
// each bounded, on loopback and of this repository's own making.
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

// WaitTimeout is how long a test waits for what must come. It is wide: only a failure
// takes so long.
const WaitTimeout = 10 * time.Second

// Conn is a connection that speaks binary signalling.
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
	_ = err // a closed connection shows where the test waits for its effect
}

// Received is a message as a setup server received it.
type Received struct {
	isup.Message
	Conn *Conn
	At   time.Time
}

// Server is a setup server. It answers nothing by itself but tells of its group first on
// every connection; what it gets is handed to the test in order.
type Server struct {
	Addr     string
	Received chan Received
	Closed   chan *Conn // connections whose other side has ended

	mu      sync.Mutex
	ln      net.Listener
	conns   []*Conn
	history []Received
}

// NewServer starts a setup server on a free port, or on addr if it is not "".
func NewServer(t testing.TB, addr string) *Server {
	t.Helper()
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	require.NoError(t, err)
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
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		c.Send(isup.Message{Type: isup.GroupState}.WithText(isup.Report, "x0:900;x1:1000"))
		go s.serve(c)
	}
}

func (s *Server) serve(c *Conn) {
	for {
		m, err := isup.Read(c.Reader)
		if err != nil {
			select {
			case s.Closed <- c:
			default: // a test that does not look
			}
			return
		}
		g := Received{m, c, time.Now()}
		s.mu.Lock()
		s.history = append(s.history, g)
		s.mu.Unlock()
		select {
		case s.Received <- g:
		default: // a test that does not look
		}
	}
}

// Await returns the next message of a type; others before it are passed over.
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

// Count counts the messages of a type for a call; 0 stands for any call.
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

// StopListening closes the listener only, so that new connections are refused.
func (s *Server) StopListening() { s.ln.Close() }

// Conns returns the connections accepted so far.
func (s *Server) Conns() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Conn(nil), s.conns...)
}

// Crash resets all connections, as a process that dies.
func (s *Server) Crash() {
	s.ln.Close()
	for _, c := range s.Conns() {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
}

// Answer lets a set-up's call stand.
func (g Received) Answer(description string) {
	g.Conn.Send(isup.Message{Type: isup.Answer, Call: g.Call}.WithText(isup.Description, description))
}

// Release ends a set-up or a call.
func (g Received) Release(c isup.Cause, note string) {
	m := isup.Message{Type: isup.Release, Call: g.Call}.WithCause(c)
	if note != "" {
		m = m.WithText(isup.Note, note)
	}
	g.Conn.Send(m)
}

// Caller is a connection of callers.
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

// Next returns the next message, or an error at the end of the connection.
func (c *Caller) Next() (isup.Message, error) {
	c.SetReadDeadline(time.Now().Add(WaitTimeout))
	return isup.Read(c.Reader)
}

// Await returns the next message, which must be of this type and call.
func (c *Caller) Await(t testing.TB, want isup.Type, id isup.CallID) isup.Message {
	t.Helper()
	m, err := c.Next()
	require.NoError(t, err)
	require.Equal(t, want, m.Type)
	require.Equal(t, id, m.Call)
	return m
}

// Bulletin tells of setup servers.
type Bulletin struct {
	Addr string

	mu          sync.Mutex
	events      []map[string]any
	changed     chan struct{}
	lastFetched int
}

// Endpoint words an entry of the list.
func Endpoint(name, addr string, group int, status string) map[string]any {
	return map[string]any{"name": name, "address": addr, "zone": "z", "type": "std", "group": group,
		"status": status, "weight": 1, "since_ms": 0}
}

// NewBulletin starts a bulletin whose first event lists these entries.
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

// AddEvent adds an event.
func (b *Bulletin) AddEvent(snapshot bool, entries ...map[string]any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.events) + 1
	b.events = append(b.events, map[string]any{"no": n,
		"roster": map[string]any{"index": n, "snapshot": snapshot, "endpoints": entries}})
	close(b.changed)
	b.changed = make(chan struct{})
}

// EventsAfter is the form of the events so far.
func (b *Bulletin) EventsAfter(after int) map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	after = min(after, len(b.events))
	return map[string]any{"no": len(b.events), "items": b.events[after:]}
}

// AllFetched tells whether all events have been taken: the next were asked for.
func (b *Bulletin) AllFetched() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastFetched >= len(b.events)
}

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
