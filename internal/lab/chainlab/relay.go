package chainlab

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"woodrouter/isup"
)

// relay is what any process in between is at the least: it reads a message, finds the connection
// that it goes on by, and writes it. It chooses nothing, sets no timer and looks after no
// connection; it ends with its server's.
type relay struct {
	server *wire

	mu      sync.Mutex
	callers map[isup.CallID]*wire // by what is open or stands
}

// Relay passes calls from whoever connects at listen on to the one server, and what the server
// says of them back, until ctx ends or the server's connection does.
func Relay(ctx context.Context, listen, server string) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	defer ln.Close()
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: ln.Addr().(*net.TCPAddr).IP}} // as agents do
	conn, err := d.DialContext(ctx, "tcp", server)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	r := &relay{server: &wire{Conn: conn}, callers: map[isup.CallID]*wire{}}
	go r.accept(ln)
	r.server.each(r.back)
	return errors.New("the server's connection has ended")
}

func (r *relay) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		w := &wire{Conn: conn}
		go func() {
			w.each(func(m isup.Message) { r.take(w, m) })
			w.Close()
		}()
	}
}

// take passes a caller's message on.
func (r *relay) take(from *wire, m isup.Message) {
	r.mu.Lock()
	switch m.Type {
	case isup.SetUp:
		r.callers[m.Call] = from
	case isup.Release:
		delete(r.callers, m.Call)
	}
	r.mu.Unlock()
	if m.Type == isup.Test {
		from.say(isup.Message{Type: isup.TestResult, Call: m.Call}.WithCause(isup.Passed))
		return
	}
	r.server.say(m)
}

// back passes the server's message of a call to its caller. The rest, such as the group's state,
// is for a call agent.
func (r *relay) back(m isup.Message) {
	r.mu.Lock()
	to := r.callers[m.Call]
	if m.Type == isup.Release {
		delete(r.callers, m.Call)
	}
	r.mu.Unlock()
	if to != nil {
		to.say(m)
	}
}
