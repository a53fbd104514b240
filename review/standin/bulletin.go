package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// bulletin is the list of setup servers as one call agent asks for it. Its events are numbered from 1.
type bulletin struct {
	record *recorder
	addr   string
	srv    *http.Server

	mu      sync.Mutex
	events  []event
	changed chan struct{}
	late    time.Duration // an answer leaves this much after it is due
}

type event struct {
	No     int    `json:"no"`
	Roster roster `json:"roster"`
}

type roster struct {
	Index     int        `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

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

// batch is the form of an answer, and of the events that the configuration holds.
type batch struct {
	No    int     `json:"no"`
	Items []event `json:"items"`
}

func newBulletin(record *recorder, servers ...*setupServer) (*bulletin, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &bulletin{record: record, addr: ln.Addr().String(), changed: make(chan struct{})}
	b.srv = &http.Server{Handler: b}
	first := event{No: 1, Roster: roster{Index: 1, Snapshot: true}}
	for _, s := range servers {
		first.Roster.Endpoints = append(first.Roster.Endpoints, entry(s, "up"))
	}
	b.events = []event{first}
	go b.srv.Serve(ln)
	return b, nil
}

func entry(s *setupServer, status string) endpoint {
	return endpoint{Name: s.name, Address: s.addr, Zone: s.zone, Type: "std", Group: s.group, Status: status, Weight: 1}
}

// known returns the events so far.
func (b *bulletin) known() batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	return batch{No: len(b.events), Items: b.events}
}

// announce adds an event with a server's new status and returns when it is in the bulletin.
func (b *bulletin) announce(s *setupServer, status string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	no := len(b.events) + 1
	b.events = append(b.events, event{no, roster{Index: no, Endpoints: []endpoint{entry(s, status)}}})
	close(b.changed)
	b.changed = make(chan struct{})
	return b.record.add("bulletin: event %d: server %s is %s", no, s.name, status)
}

// setLate makes answers leave late.
func (b *bulletin) setLate(late time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.late = late
	b.record.add("bulletin: answers leave %v late", late)
}

func (b *bulletin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	patience, _ := strconv.Atoi(r.URL.Query().Get("patience"))
	b.record.add("bulletin: request from %s after=%d patience=%d", r.RemoteAddr, after, patience)
	deadline := time.After(min(time.Duration(patience)*time.Millisecond, 5*time.Second))
	for {
		b.mu.Lock()
		news, changed, late := len(b.events) > after, b.changed, b.late
		b.mu.Unlock()
		over := false
		if !news {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline:
				over = true
			}
		}
		if !news && !over {
			continue
		}
		select {
		case <-time.After(late):
		case <-r.Context().Done():
			b.record.add("bulletin: %s has left before the answer", r.RemoteAddr)
			return
		}
		break
	}
	b.mu.Lock()
	answer := batch{No: len(b.events), Items: b.events[min(after, len(b.events)):]}
	b.mu.Unlock()
	text, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if _, err := w.Write(text); err == nil {
		b.record.add("bulletin: answer to %s: events up to %d", r.RemoteAddr, answer.No)
	}
}
