package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// endpoint is an entry of the list of setup servers.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

type roster struct {
	Index     int        `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

type listEvent struct {
	No     int    `json:"no"`
	Roster roster `json:"roster"`
}

type batch struct {
	No    int         `json:"no"`
	Items []listEvent `json:"items"`
}

// bulletin tells one start of one call agent of the setup servers. Its events are counted from 1.
type bulletin struct {
	w    *world
	name string
	addr string

	mu      sync.Mutex
	events  []listEvent
	changed chan struct{}
	server  *http.Server
	polls   int
}

// newBulletin starts a bulletin whose first event is the whole list.
func (w *world) newBulletin(name string, list ...endpoint) (*bulletin, error) {
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	b := &bulletin{w: w, name: name, addr: addr, changed: make(chan struct{})}
	b.tell(true, list...)
	if err := b.open(); err != nil {
		return nil, err
	}
	w.atEnd(b.shut)
	return b, nil
}

// open has the bulletin accept calls.
func (b *bulletin) open() error {
	ln, err := net.Listen("tcp", b.addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: b}
	b.mu.Lock()
	b.server = server
	b.mu.Unlock()
	b.w.note(b.name, "accepts calls")
	go server.Serve(ln)
	return nil
}

// shut ends all connections; new ones are refused.
func (b *bulletin) shut() {
	b.mu.Lock()
	server := b.server
	b.server = nil
	b.mu.Unlock()
	if server != nil {
		server.Close()
		b.w.note(b.name, "is down")
	}
}

// tell adds an event.
func (b *bulletin) tell(whole bool, changes ...endpoint) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.events) + 1
	b.events = append(b.events, listEvent{n, roster{n, whole, changes}})
	close(b.changed)
	b.changed = make(chan struct{})
	for _, e := range changes {
		b.w.note(b.name, "event %d: %s at %s is %s since %d", n, e.Name, e.Address, e.Status, e.SinceMs)
	}
	return time.Now()
}

func (b *bulletin) eventsAfter(after int) batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	after = min(max(after, 0), len(b.events))
	return batch{len(b.events), append([]listEvent{}, b.events[after:]...)}
}

// ServeHTTP answers a call once there are later events, or after the patience that it names.
func (b *bulletin) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	patience, _ := strconv.Atoi(r.URL.Query().Get("patience"))
	b.mu.Lock()
	b.polls++
	changed, count := b.changed, len(b.events)
	b.mu.Unlock()
	b.w.note(b.name, "asked for events after %d, with a patience of %d ms", after, patience)
	if after >= count {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(min(patience, 5000)) * time.Millisecond):
		}
	}
	answer := b.eventsAfter(after)
	text, _ := json.Marshal(answer)
	rw.Header().Set("Content-Type", "application/json")
	rw.Write(text)
	b.w.note(b.name, "answered with %d events, the last is %d", len(answer.Items), answer.No)
}
