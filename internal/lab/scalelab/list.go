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

// ServerList stands in for the bulletin. It sends agents the list of setup servers by long poll, counts the
// bytes of each agent's connections, and may have some milliseconds of latency. The bulletin belongs to the
// platform, so its own cost is not measured.
type ServerList struct {
	Addr string
	// ManualExpiry lets watches expire by ExpireWatches only, not by the clock.
	ManualExpiry bool

	srv  *http.Server
	done chan struct{}

	mu      sync.Mutex
	items   []any
	changed chan struct{} // closed and replaced at each change
	expired chan struct{} // closed and replaced when all open watches expire
	watches map[string]*WatchStats
}

// WatchStats counts the watches of one agent, which is identified by its source address.
type WatchStats struct {
	Asked, Answered    int
	InFlight, MostOpen int   // watches open now, and the most open at the same time
	In, Out            int64 // bytes that the list received and sent, without TCP and IP headers
}

// NewServerList listens on a host. gate returns the link between the list and an agent's host, which may
// delay; nil: there is none.
func NewServerList(host string, gate func(host string) *faultnet.WrappedLink) (*ServerList, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	l := &ServerList{Addr: ln.Addr().String(), changed: make(chan struct{}), expired: make(chan struct{}), watches: map[string]*WatchStats{}, done: make(chan struct{})}
	l.srv = &http.Server{Handler: l}
	go func() {
		defer close(l.done)
		l.srv.Serve(&countingListener{ln, l, gate})
	}()
	return l, nil
}

// Close closes the server and ends all watches.
func (l *ServerList) Close() {
	l.srv.Close()
	<-l.done
}

// AddEvent adds an event with the whole list or with the changed setup servers only.
func (l *ServerList) AddEvent(whole bool, endpoints []map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	no := len(l.items) + 1
	l.items = append(l.items, map[string]any{"no": no, "roster": map[string]any{"index": no, "snapshot": whole, "endpoints": endpoints}})
	close(l.changed)
	l.changed = make(chan struct{})
}

// ExpireWatches lets all open watches expire.
func (l *ServerList) ExpireWatches() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.expired)
	l.expired = make(chan struct{})
}

// Watches returns a copy of the counters by host.
func (l *ServerList) Watches() map[string]WatchStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]WatchStats{}
	for host, w := range l.watches {
		out[host] = *w
	}
	return out
}

// watchOf returns the counters of a host. The caller holds l.mu.
func (l *ServerList) watchOf(host string) *WatchStats {
	w := l.watches[host]
	if w == nil {
		w = &WatchStats{}
		l.watches[host] = w
	}
	return w
}

// updateWatch calls what with the counters of the host of addr, with l.mu held.
func (l *ServerList) updateWatch(addr string, what func(w *WatchStats)) {
	host, _, _ := net.SplitHostPort(addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	what(l.watchOf(host))
}

// ServeHTTP answers one watch.
func (l *ServerList) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	patience, _ := strconv.Atoi(r.URL.Query().Get("patience"))
	var news, expired <-chan struct{}
	var n int
	// All under one lock: whoever sees the watch in flight may end it.
	l.updateWatch(r.RemoteAddr, func(w *WatchStats) {
		w.Asked++
		w.InFlight++
		w.MostOpen = max(w.MostOpen, w.InFlight)
		news, expired, n = l.changed, l.expired, len(l.items)
	})
	var ends <-chan time.Time
	if !l.ManualExpiry {
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
			l.updateWatch(r.RemoteAddr, func(w *WatchStats) { w.InFlight-- })
			return
		}
	}
	l.mu.Lock()
	items := l.items[min(after, len(l.items)):]
	n = len(l.items)
	l.mu.Unlock()
	// Counted before the answer is sent, since the next watch may come at once.
	l.updateWatch(r.RemoteAddr, func(w *WatchStats) {
		w.InFlight--
		w.Answered++
	})
	json.NewEncoder(out).Encode(map[string]any{"no": n, "items": append([]any{}, items...)})
}

// countingListener counts the bytes of its connections and passes them through the links of their hosts.
type countingListener struct {
	net.Listener
	list      *ServerList
	delayLink func(host string) *faultnet.WrappedLink
}

func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	from := conn.RemoteAddr().String()
	if c.delayLink != nil {
		host, _, _ := net.SplitHostPort(from)
		if g := c.delayLink(host); g != nil {
			conn = g.Wrap(conn)
		}
	}
	return &countingConn{conn, from, c.list}, nil
}

// countingConn counts the bytes of a connection from one agent.
type countingConn struct {
	net.Conn
	from string
	list *ServerList
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.list.updateWatch(c.from, func(w *WatchStats) { w.In += int64(n) })
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	c.list.updateWatch(c.from, func(w *WatchStats) { w.Out += int64(len(b)) })
	return c.Conn.Write(b)
}

// endpoints returns n setup servers, placed in the zones in rotation. addr returns an address for a zone.
func endpoints(n int, addr func(zone string) string) (out []map[string]any) {
	for i := range n {
		out = append(out, endpoint(i, addr))
	}
	return out
}

// endpoint returns setup server i, in the form of the list.
func endpoint(i int, addr func(zone string) string) map[string]any {
	zone := zoneNames[i%len(zoneNames)]
	return map[string]any{"name": fmt.Sprintf("server-%02d", i), "address": addr(zone), "zone": zone, "type": "std", "group": 0,
		"status": "up", "weight": 1, "since_ms": 0}
}
