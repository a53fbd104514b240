package emulator

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// bulletin tells agents of the list by long poll: each event reaches each agent the notice and
// a part of the spread later.
type bulletin struct {
	world *World
	addr  string
	srv   *http.Server

	mu      sync.Mutex
	events  []event
	changed chan struct{}
	silent  bool // asks are taken and not answered
}

type event struct {
	madeAt time.Time // it was made
	delays []time.Duration
	body   map[string]any
}

func newBulletin(w *World) (*bulletin, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &bulletin{world: w, addr: ln.Addr().String(), changed: make(chan struct{})}
	b.srv = &http.Server{Handler: b}
	go b.srv.Serve(ln)
	return b, nil
}

func (b *bulletin) close() { b.srv.Close() }

// addInitial is the event of the start, known to all at once.
func (b *bulletin) addInitial(servers []*Server) {
	b.add(true, make([]time.Duration, b.world.Agents), servers)
}

// announce lists what has become of servers.
func (b *bulletin) announce(servers ...*Server) {
	w := b.world
	w.mu.Lock()
	delays := make([]time.Duration, w.Agents)
	for i := range delays {
		delays[i] = w.BulletinDelay + time.Duration(w.rng.Float64()*float64(w.BulletinSpread))
	}
	w.mu.Unlock()
	b.add(false, delays, servers)
}

func (b *bulletin) add(snapshot bool, delays []time.Duration, servers []*Server) {
	now := time.Now()
	var entries []map[string]any
	for _, s := range servers {
		entries = append(entries, s.entry())
		s.recordAnnounced(now, delays)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	no := len(b.events) + 1
	b.events = append(b.events, event{now, delays, map[string]any{"no": no,
		"roster": map[string]any{"index": no, "snapshot": snapshot, "endpoints": entries}}})
	close(b.changed)
	b.changed = make(chan struct{})
}

// eventsAfter is the events past after that an agent can see; agent -1 sees all.
func (b *bulletin) eventsAfter(after, agent int) map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.visibleCount(agent)
	items := []any{}
	for i := min(after, n); i < n; i++ {
		items = append(items, b.events[i].body)
	}
	return map[string]any{"no": n, "items": items}
}

func (b *bulletin) visibleCount(agent int) int {
	if agent < 0 {
		return len(b.events)
	}
	for i, it := range b.events {
		if time.Since(it.madeAt) < it.delays[agent] {
			return i
		}
	}
	return len(b.events)
}

// SilenceBulletin has the bulletin take what is asked and answer nothing, until it is lifted.
func (w *World) SilenceBulletin(on bool) {
	w.bulletin.mu.Lock()
	w.bulletin.silent = on
	w.bulletin.mu.Unlock()
}

func (b *bulletin) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	patience, _ := strconv.Atoi(r.URL.Query().Get("patience"))
	from, err := net.ResolveTCPAddr("tcp", r.RemoteAddr)
	if err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	agent := min(b.world.net.AgentAt(from), b.world.Agents-1)
	until := time.Now().Add(time.Duration(patience) * time.Millisecond)
	for {
		b.mu.Lock()
		changed, silent, ready := b.changed, b.silent, b.visibleCount(agent) > after
		pending := len(b.events) > after && !ready
		b.mu.Unlock()
		switch {
		case silent:
			<-r.Context().Done()
			return
		case ready || !time.Now().Before(until):
			json.NewEncoder(out).Encode(b.eventsAfter(after, agent))
			return
		}
		waitTime := time.Until(until)
		if pending { // an event is on its way to this agent
			waitTime = min(waitTime, 20*time.Millisecond)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(waitTime):
		}
	}
}
