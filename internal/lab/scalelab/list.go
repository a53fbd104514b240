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

// ServerList is a stand-in for the bulletin: it tells agents of setup servers by long poll, counts what
// each agent's connections carry, and may stand some milliseconds away. It is the platform's, so
// what it costs is nobody's here.
type ServerList struct {
	Addr string
	// ManualExpiry has no patience end by the clock: Expire ends it.
	ManualExpiry bool

	srv  *http.Server
	done chan struct{}

	mu      sync.Mutex
	items   []any
	changed chan struct{} // closed at each change
	expired chan struct{} // closed where all patience ends
	watches map[string]*WatchStats
}

// WatchStats is what one agent's watch came to, by its source address.
type WatchStats struct {
	Asked, Answered    int
	InFlight, MostOpen int   // watches open now, and at most at once
	In, Out            int64 // bytes the list got and sent, heads and all, without TCP's and IP's own
}

// NewServerList listens on a host. gate tells the delay between an agent and the list, by its host; nil:
// there is none.
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

// Close ends all watches.
func (l *ServerList) Close() {
	l.srv.Close()
	<-l.done
}

// AddEvent adds an event: the whole list, or what has changed in it.
func (l *ServerList) AddEvent(whole bool, endpoints []map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	no := len(l.items) + 1
	l.items = append(l.items, map[string]any{"no": no, "roster": map[string]any{"index": no, "snapshot": whole, "endpoints": endpoints}})
	close(l.changed)
	l.changed = make(chan struct{})
}

// ExpireWatches ends the patience of all open watches.
func (l *ServerList) ExpireWatches() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.expired)
	l.expired = make(chan struct{})
}

// Watches are a copy of the tally.
func (l *ServerList) Watches() map[string]WatchStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]WatchStats{}
	for host, w := range l.watches {
		out[host] = *w
	}
	return out
}

func (l *ServerList) watchOf(host string) *WatchStats {
	w := l.watches[host]
	if w == nil {
		w = &WatchStats{}
		l.watches[host] = w
	}
	return w
}

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
	l.updateWatch(r.RemoteAddr, func(w *WatchStats) { // at one moment: who sees it in flight may end it
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
	l.updateWatch(r.RemoteAddr, func(w *WatchStats) { // before the answer leaves: the next watch may come at once
		w.InFlight--
		w.Answered++
	})
	json.NewEncoder(out).Encode(map[string]any{"no": n, "items": append([]any{}, items...)})
}

// countingListener counts what its connections carry, and leads them through their gates.
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
