package emulator

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// bulletin serves the list of setup servers to agents by long poll. Each agent sees an event a delay of its
// own after the change: BulletinDelay plus a random part of BulletinSpread.
type bulletin struct {
	world *World
	addr  string
	srv   *http.Server

	mu      sync.Mutex
	events  []event
	changed chan struct{}
	silent  bool // polls are accepted and not answered
}

// event is an entry of the bulletin, as agents get it.
type event struct {
	madeAt time.Time       // when the list changed
	delays []time.Duration // by agent: from madeAt until it sees the event
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

// addInitial adds the first event, which all agents see at once.
func (b *bulletin) addInitial(servers []*Server) {
	b.add(true, make([]time.Duration, b.world.Agents), servers)
}

// announce adds an event with the present entries of servers.
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

// add adds an event that each agent sees after its delay.
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

// eventsAfter returns the events after a number that an agent can see by now; agent -1 sees all.
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

// visibleCount returns how many events an agent can see by now. An event hides those after it.
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

// SilenceBulletin makes the bulletin accept polls without answering them (true) or answer again (false).
func (w *World) SilenceBulletin(on bool) {
	w.bulletin.mu.Lock()
	w.bulletin.silent = on
	w.bulletin.mu.Unlock()
}

// ServeHTTP answers a poll when its agent can see events after the given number, or when the poll's
// patience has passed.
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
		if pending { // an event will become visible to this agent; no channel signals that
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
