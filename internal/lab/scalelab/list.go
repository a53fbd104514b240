package scalelab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"woodrouter/internal/faultnet"
)

// List is a stand-in for the bulletin: it tells agents of setup servers by long poll, counts what
// each agent's connections carry, and may stand some milliseconds away. It is the platform's, so
// what it costs is nobody's here.
type List struct {
	Addr string
	// ByHand has no patience end by the clock: Expire ends it.
	ByHand bool

	srv  *http.Server
	done chan struct{}

	mu      sync.Mutex
	items   []any
	news    chan struct{} // closed at each change
	expired chan struct{} // closed where all patience ends
	tally   map[string]*Watch
}

// Watch is what one agent's watch came to, by its source address.
type Watch struct {
	Asked, Answered    int
	InFlight, MostOpen int   // watches open now, and at most at once
	In, Out            int64 // bytes the list got and sent, heads and all, without TCP's and IP's own
}

// NewList listens on a host. gate tells the delay between an agent and the list, by its host; nil:
// there is none.
func NewList(host string, gate func(host string) *faultnet.WrappedLink) (*List, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	l := &List{Addr: ln.Addr().String(), news: make(chan struct{}), expired: make(chan struct{}), tally: map[string]*Watch{}, done: make(chan struct{})}
	l.srv = &http.Server{Handler: l}
	go func() {
		defer close(l.done)
		l.srv.Serve(&counting{ln, l, gate})
	}()
	return l, nil
}

// Close ends all watches.
func (l *List) Close() {
	l.srv.Close()
	<-l.done
}

// Tell adds an event: the whole list, or what has changed in it.
func (l *List) Tell(whole bool, endpoints []map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	no := len(l.items) + 1
	l.items = append(l.items, map[string]any{"no": no, "roster": map[string]any{"index": no, "snapshot": whole, "endpoints": endpoints}})
	close(l.news)
	l.news = make(chan struct{})
}

// Expire ends the patience of all open watches.
func (l *List) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.expired)
	l.expired = make(chan struct{})
}

// Watches are a copy of the tally.
func (l *List) Watches() map[string]Watch {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]Watch{}
	for host, w := range l.tally {
		out[host] = *w
	}
	return out
}

func (l *List) of(host string) *Watch {
	w := l.tally[host]
	if w == nil {
		w = &Watch{}
		l.tally[host] = w
	}
	return w
}

func (l *List) note(addr string, what func(w *Watch)) {
	host, _, _ := net.SplitHostPort(addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	what(l.of(host))
}

// ServeHTTP answers one watch.
func (l *List) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	patience, _ := strconv.Atoi(r.URL.Query().Get("patience"))
	var news, expired <-chan struct{}
	var n int
	l.note(r.RemoteAddr, func(w *Watch) { // at one moment: who sees it in flight may end it
		w.Asked++
		w.InFlight++
		w.MostOpen = max(w.MostOpen, w.InFlight)
		news, expired, n = l.news, l.expired, len(l.items)
	})
	var ends <-chan time.Time
	if !l.ByHand {
		t := time.NewTimer(time.Duration(patience) * time.Millisecond)
		defer t.Stop()
		ends = t.C
	}
	if n <= after {
		select {
		case <-news:
		case <-expired:
		case <-ends:
		case <-r.Context().Done():
			l.note(r.RemoteAddr, func(w *Watch) { w.InFlight-- })
			return
		}
	}
	l.mu.Lock()
	items := l.items[min(after, len(l.items)):]
	n = len(l.items)
	l.mu.Unlock()
	l.note(r.RemoteAddr, func(w *Watch) { // before the answer leaves: the next watch may come at once
		w.InFlight--
		w.Answered++
	})
	json.NewEncoder(out).Encode(map[string]any{"no": n, "items": append([]any{}, items...)})
}

// counting counts what its connections carry, and leads them through their gates.
type counting struct {
	net.Listener
	list *List
	gate func(host string) *faultnet.WrappedLink
}

func (c *counting) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	from := conn.RemoteAddr().String()
	if c.gate != nil {
		host, _, _ := net.SplitHostPort(from)
		if g := c.gate(host); g != nil {
			conn = g.Wrap(conn)
		}
	}
	return &counted{conn, from, c.list}, nil
}

type counted struct {
	net.Conn
	from string
	list *List
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.list.note(c.from, func(w *Watch) { w.In += int64(n) })
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	c.list.note(c.from, func(w *Watch) { w.Out += int64(len(b)) })
	return c.Conn.Write(b)
}

// endpoints are setup servers in the zones in turn. addr gives an address by zone.
func endpoints(n int, addr func(zone string) string) (out []map[string]any) {
	for i := range n {
		out = append(out, endpoint(i, addr))
	}
	return out
}

func endpoint(i int, addr func(zone string) string) map[string]any {
	zone := zoneNames[i%len(zoneNames)]
	return map[string]any{"name": fmt.Sprintf("server-%02d", i), "address": addr(zone), "zone": zone, "type": "std", "group": 0,
		"status": "up", "weight": 1, "since_ms": 0}
}
