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
	server *messageConn

	mu      sync.Mutex
	callers map[isup.CallID]*messageConn // by what is open or stands
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
	r := &relay{server: &messageConn{Conn: conn}, callers: map[isup.CallID]*messageConn{}}
	go r.accept(ln)
	r.server.readAll(r.handleServer)
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
		w := &messageConn{Conn: conn}
		go func() {
			w.readAll(func(m isup.Message) { r.handleCaller(w, m) })
			w.Close()
		}()
	}
}

// handleCaller passes a caller's message on.
func (r *relay) handleCaller(from *messageConn, m isup.Message) {
	r.mu.Lock()
	switch m.Type {
	case isup.SetUp:
		r.callers[m.Call] = from
	case isup.Release:
		delete(r.callers, m.Call)
	}
	r.mu.Unlock()
	if m.Type == isup.Test {
		from.send(isup.Message{Type: isup.TestResult, Call: m.Call}.WithCause(isup.Passed))
		return
	}
	r.server.send(m)
}

// handleServer passes the server's message of a call to its caller. The rest, such as the group's state,
// is for a call agent.
func (r *relay) handleServer(m isup.Message) {
	r.mu.Lock()
	to := r.callers[m.Call]
	if m.Type == isup.Release {
		delete(r.callers, m.Call)
	}
	r.mu.Unlock()
	if to != nil {
		to.send(m)
	}
}
