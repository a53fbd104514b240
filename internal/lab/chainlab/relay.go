package chainlab

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"woodrouter/isup"
)

// relay does the minimum of any process between caller and server: it reads a message, finds the
// connection on which it continues, and writes it there. It makes no choices, sets no timers and does not
// restore connections; it ends when its server's connection does.
type relay struct {
	server *messageConn

	mu      sync.Mutex
	callers map[isup.CallID]*messageConn // connections of pending and standing calls
}

// Relay passes calls from all connections at listen to one server, and the server's messages back, until
// ctx or the server's connection ends.
func Relay(ctx context.Context, listen, server string) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	defer ln.Close()
	// The relay dials from its own address, as agents do.
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: ln.Addr().(*net.TCPAddr).IP}}
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
		mc := &messageConn{Conn: conn}
		go func() {
			mc.readAll(func(m isup.Message) { r.handleCaller(mc, m) })
			mc.Close()
		}()
	}
}

// handleCaller passes a caller's message to the server, and answers tests itself.
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

// handleServer passes the server's message on a call to the caller. Other messages, such as the group's
// state, concern call agents only and are dropped.
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
