package isupfront

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"woodrouter/agent"
	"woodrouter/internal/mailbox"
	"woodrouter/isup"
)

// peer is one caller's connection: a goroutine reads it, its actor writes.
type peer struct {
	f    *Front
	conn net.Conn
	host string
	box  *mailbox.Box[isup.Message]
}

func newPeer(f *Front, conn net.Conn) *peer {
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	return &peer{f: f, conn: conn, host: host, box: mailbox.New[isup.Message](f.cfg.MaxWaiting)}
}

// send queues a message. A caller too slow to take its messages is cut off.
func (p *peer) send(m isup.Message) bool {
	if p.box.Offer(m) {
		return true
	}
	p.conn.Close()
	return false
}

// fail ends the connection for a fault of the caller.
func (p *peer) fail(err error) {
	p.f.cfg.Log.Warn("caller's connection ended", "caller", p.conn.RemoteAddr(), "error", err)
	p.conn.Close()
}

func (p *peer) read() {
	defer p.f.group.Done()
	err := p.readAll()
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		p.fail(err)
	}
	p.f.forget(p)
	p.box.Close()
}

func (p *peer) readAll() (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v\n%s", r, debug.Stack())
		}
	}()
	in := bufio.NewReaderSize(p.conn, 4<<10)
	for {
		if err := p.await(in); err != nil {
			return err
		}
		p.conn.SetReadDeadline(time.Now().Add(p.f.cfg.MessageTime))
		m, err := isup.Read(in)
		if err != nil {
			return err
		}
		if err := p.take(m); err != nil {
			return fmt.Errorf("message of type %d, call %v: %w", m.Type, m.Call, err)
		}
	}
}

// await waits for the next message to begin. Idle connections end, but for those on
// which a set-up is open.
func (p *peer) await(in *bufio.Reader) error {
	for {
		p.conn.SetReadDeadline(time.Now().Add(p.f.cfg.Idle))
		_, err := in.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if !p.f.busy(p) {
			return io.EOF
		}
	}
}

func (p *peer) take(m isup.Message) error {
	switch m.Type {
	case isup.SetUp:
		return p.setUp(m)
	case isup.Release:
		if _, err := m.Cause(); err != nil {
			return err
		}
		if p.f.finish(m.Call) != nil {
			p.f.core.Withdraw(p.f, m.Call.String())
		}
	case isup.Test:
		cause := isup.NotPassed
		if p.f.cfg.Ready() {
			cause = isup.Passed
		}
		p.send(isup.Message{Type: isup.TestResult, Call: m.Call}.WithCause(cause))
	case isup.Progress, isup.Released:
	default:
		return errors.New("unexpected type")
	}
	return nil
}

func (p *peer) setUp(m isup.Message) error {
	c, err := parseCall(m)
	if err != nil {
		return err
	}
	if !p.f.begin(p, m.Call) {
		return agent.ErrDuplicate
	}
	if !p.f.core.Offer(p.f, c) {
		p.f.final(c, refusal(m.Call, p.f.cfg.StayAway))
	}
	return nil
}

// parseCall reads a set-up. Of the figures only the first choice matters here.
func parseCall(m isup.Message) (agent.Call, error) {
	c := agent.Call{ID: m.Call.String(), Class: m.Text(isup.Class), Tenant: m.Text(isup.Tenant),
		Number: m.Text(isup.Number), Pool: -1, Ref: m.Call}
	left, err := m.Millis(isup.Left)
	if err != nil {
		return c, err
	}
	c.Deadline = time.Now().Add(left)
	c.Description, _ = m.Get(isup.Description)
	var bad error
	err = isup.Fields(m.Text(isup.Figures), func(name, value string) {
		if name != "dest" {
			return
		}
		if c.Pool, bad = strconv.Atoi(value); bad != nil {
			bad = fmt.Errorf("figure dest: %q is no number", value)
		}
	})
	return c, errors.Join(err, bad)
}

// write is the connection's actor. What can't be written is handed on: an answer ends
// its call, a release looks for another connection.
func (p *peer) write() {
	defer p.f.group.Done()
	defer p.conn.Close()
	var buf []byte
	for {
		m, ok := p.box.Take()
		if !ok {
			return
		}
		b, err := m.Append(buf[:0])
		if err == nil {
			buf = b
			p.conn.SetWriteDeadline(time.Now().Add(p.f.cfg.WriteTimeout))
			_, err = p.conn.Write(b)
		}
		if err != nil {
			p.conn.Close()
			p.unsent(m)
		}
	}
}

func (p *peer) unsent(m isup.Message) {
	switch {
	case m.Type == isup.Answer:
		p.f.undelivered(m.Call)
	case m.Type == isup.Release:
		cause, _ := m.Cause()
		if cause == isup.Normal || cause == isup.TempFailure {
			p.f.sayReleased(unsaid{m.Call, cause, p.host, time.Now()}, nil)
		}
	}
}
