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
	down    bool // connections are refused
	// recoveredAt is when the bulletin last became reachable again, or moved; zero: it always was.
	recoveredAt time.Time
}

// retryAllowance is how long after a failed call to the bulletin an agent may take to learn of a change that it
// could have read.
const retryAllowance = 6 * time.Second

// outageMemory is how long after the end of an outage agents may still be without a call, as the last one failed.
const outageMemory = retryAllowance

// event is an entry of the bulletin, as agents get it.
type event struct {
	madeAt time.Time       // when the list changed
	delays []time.Duration // by agent: from madeAt until it sees the event
	sentAt []time.Time     // by agent: when it was first sent to it; zero: not yet
	body   map[string]any
}

func newBulletin(w *World) (*bulletin, error) {
	b := &bulletin{world: w, changed: make(chan struct{})}
	return b, b.listen(w.host + ":0")
}

// listen serves the bulletin at an address, in place of the present one.
func (b *bulletin) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.addr, b.srv = ln.Addr().String(), &http.Server{Handler: b}
	b.down, b.silent = false, false
	srv := b.srv
	b.mu.Unlock()
	go srv.Serve(ln)
	return nil
}

// toldAt returns when an agent was told of an event, or by when it must have learned of it after an outage. ok is
// false if neither is known yet.
func (b *bulletin) toldAt(index, agent int) (at time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.events[index]
	visible := e.madeAt.Add(e.delays[agent])
	outageEnd := b.recoveredAt
	duringOutage := b.silent || b.down
	switch {
	case !duringOutage && (outageEnd.IsZero() || visible.Sub(outageEnd) > outageMemory):
		return visible, true
	case !e.sentAt[agent].IsZero():
		return e.sentAt[agent], true
	case duringOutage:
		return time.Time{}, false
	case visible.Before(outageEnd):
		visible = outageEnd
	}
	return visible.Add(retryAllowance), true
}

func (b *bulletin) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.srv.Close()
}

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
	}
	b.mu.Lock()
	no := len(b.events) + 1
	b.events = append(b.events, event{madeAt: now, delays: delays, sentAt: make([]time.Time, len(delays)), body: map[string]any{"no": no,
		"roster": map[string]any{"index": no, "snapshot": snapshot, "endpoints": entries}}})
	b.mu.Unlock()
	for _, s := range servers {
		s.recordAnnounced(no - 1)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
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
		if agent >= 0 && b.events[i].sentAt[agent].IsZero() {
			b.events[i].sentAt[agent] = time.Now()
		}
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
	b := w.bulletin
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.silent && !on {
		b.recoveredAt = time.Now()
	}
	b.silent = on
}

// StopBulletin ends the bulletin's process: its connections are reset and new ones refused.
func (w *World) StopBulletin() {
	b := w.bulletin
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down = true
	b.srv.Close()
}

// RestartBulletin starts the bulletin again at its address after StopBulletin.
func (w *World) RestartBulletin() error {
	if err := w.bulletin.listen(w.Bulletin()); err != nil {
		return err
	}
	w.bulletin.mu.Lock()
	defer w.bulletin.mu.Unlock()
	w.bulletin.recoveredAt = time.Now()
	return nil
}

// MoveBulletin serves the bulletin at another address and returns a function that ends the service at the former
// one. Agents must be told of the new address.
func (w *World) MoveBulletin() (stopFormer func(), err error) {
	b := w.bulletin
	b.mu.Lock()
	former := b.srv
	b.mu.Unlock()
	if err := b.listen(w.host + ":0"); err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recoveredAt = time.Now()
	return func() { former.Close() }, nil
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
