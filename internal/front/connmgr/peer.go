package connmgr

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"woodrouter/internal/mailbox"
)

// Kind tells what is lost with a message that can't be written.
type Kind int

// The kinds. An answer's call is released, a release looks for another connection.
const (
	KindOther Kind = iota
	KindAnswer
	KindEnd
)

// Message is a message as it goes out.
type Message struct {
	ID   string
	Kind Kind
	Data []byte
}

// Peer is one caller's connection: a goroutine reads it, its actor writes.
type Peer struct {
	In       *bufio.Reader
	manager  *Manager
	conn     net.Conn
	host     string
	queue    *mailbox.Queue[Message]
	readDone chan struct{} // closed once nothing more is read of it

	opened      time.Time
	gotMessage  atomic.Bool  // a message of it was whole
	midMessage  atomic.Bool  // a message of it has begun and is not whole
	lastUsed    atomic.Int64 // when it was used last, or bytes of it came, in Unix nanoseconds
	idleTimeout time.Duration
	ready       atomic.Bool // it can be sent releases

	readDeadline time.Time // the reader's: what it waits for must have come by then
	deadlineSet  bool      // that is set on the connection

	linger atomic.Bool // it leaves without haste

	openSetUps, calls int // set-ups without an answer, and all calls; guarded by the desk
}

// evictBefore orders connections without a call by how little they would be missed.
func (p *Peer) evictBefore(q *Peer) bool {
	if p.midMessage.Load() != q.midMessage.Load() {
		return q.midMessage.Load()
	}
	if p.gotMessage.Load() != q.gotMessage.Load() {
		return q.gotMessage.Load()
	}
	return p.lastUsed.Load() < q.lastUsed.Load()
}

func newPeer(m *Manager, conn net.Conn) *Peer {
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	p := &Peer{manager: m, conn: conn, opened: time.Now(), host: host, readDone: make(chan struct{}),
		queue: mailbox.New[Message](m.MaxQueued)}
	p.In = bufio.NewReaderSize(deadlineReader{p}, 4<<10)
	p.touch()
	return p
}

// deadlineReader reads a connection and notes that something came: whoever writes slowly is not idle. The
// deadline is set on the connection only here, where something must be waited for: most messages are
// there whole once they have begun.
type deadlineReader struct{ p *Peer }

func (a deadlineReader) Read(b []byte) (int, error) {
	if !a.p.deadlineSet {
		a.p.conn.SetReadDeadline(a.p.readDeadline)
		a.p.deadlineSet = true
	}
	n, err := a.p.conn.Read(b)
	if n > 0 {
		a.p.touch()
	}
	return n, err
}

// Send queues a message. A caller too slow to take its messages is cut off.
func (p *Peer) Send(i Message) bool {
	if p.queue.Offer(i) {
		return true
	}
	p.conn.Close()
	return false
}

// startClosing ends the connection once what waits for it is written. linger: what its caller has on the
// way is read first and passed over, as a close with bytes unread resets the connection, and with
// it the answers that the caller has not read yet.
func (p *Peer) startClosing(linger bool) {
	p.linger.Store(linger)
	if p.ready.Load() && len(p.manager.CloseMessage) > 0 {
		p.queue.Offer(Message{Data: p.manager.CloseMessage})
	}
	p.queue.Close()
}

// Fail ends the connection for a fault of the caller.
func (p *Peer) Fail(err error) {
	p.manager.Log.Warn("caller's connection ended", "caller", p.conn.RemoteAddr(), "error", err)
	p.conn.Close()
}

// ErrIdle tells that the next message did not begin in time.
var ErrIdle = errors.New("idle")

// errNoMessage tells that a new connection said nothing, or half a message.
var errNoMessage = errors.New("no whole message in time")

// AwaitMessage waits for the next message to begin, ErrIdle telling of a long silence. What has
// begun is to be read whole within MessageTime. All that a connection says first has
// FirstTime: who only holds it open is told apart from a caller between two calls.
func (p *Peer) AwaitMessage() error {
	if !p.gotMessage.Load() {
		p.setReadDeadline(p.opened.Add(p.manager.FirstMessageTimeout))
		_, err := p.In.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return errNoMessage
		}
		p.midMessage.Store(err == nil)
		return err
	}
	p.setReadDeadline(time.Now().Add(p.idleTimeout))
	_, err := p.In.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrIdle
	}
	p.midMessage.Store(err == nil)
	p.setReadDeadline(time.Now().Add(p.manager.MessageTimeout))
	return err
}

// setReadDeadline has what is read from now on come by then.
func (p *Peer) setReadDeadline(due time.Time) { p.readDeadline, p.deadlineSet = due, false }

// MessageRead notes that a message was read whole.
func (p *Peer) MessageRead() {
	p.gotMessage.Store(true)
	p.midMessage.Store(false)
	p.touch()
}

func (p *Peer) touch() { p.lastUsed.Store(time.Now().UnixNano()) }

// sinceUsed is how long the connection has not been used.
func (p *Peer) sinceUsed() time.Duration {
	return time.Duration(time.Now().UnixNano() - p.lastUsed.Load())
}

// Busy tells whether a set-up is open on the connection.
func (p *Peer) Busy() bool { return p.manager.busy(p) }

func (p *Peer) readAll() {
	defer close(p.readDone)
	err := p.runHandler()
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		p.manager.Log.Warn("caller's connection ended", "caller", p.conn.RemoteAddr(), "error", err)
	}
	p.midMessage.Store(false)
	p.manager.removePeer(p)
	p.queue.Close() // the writer says what is left, and closes
	if p.linger.Load() {
		p.conn.SetReadDeadline(time.Now().Add(p.manager.LingerTimeout))
		io.Copy(io.Discard, p.conn)
	}
}

// runHandler stops a panic at the connection.
func (p *Peer) runHandler() (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v\n%s", r, debug.Stack())
		}
	}()
	return p.manager.handler(p)
}

func (p *Peer) writeAll() {
	defer p.manager.closePeer(p)
	for {
		i, ok := p.queue.Take()
		if !ok {
			p.closeWrite()
			return
		}
		p.conn.SetWriteDeadline(time.Now().Add(p.manager.WriteTimeout))
		if _, err := p.conn.Write(i.Data); err != nil {
			p.conn.Close()
			p.handleUnsent(i)
		}
	}
}

func (p *Peer) handleUnsent(i Message) {
	switch i.Kind {
	case KindAnswer:
		p.manager.releaseUndelivered(i.ID)
	case KindEnd:
		p.manager.deliverEnd(pendingEnd{i, p.host, time.Now()}, nil)
	}
}

// closeWrite says that nothing more comes, and gives the caller the time to see it.
func (p *Peer) closeWrite() {
	half, ok := p.conn.(interface{ CloseWrite() error })
	if !ok || !p.linger.Load() || half.CloseWrite() != nil {
		return
	}
	select {
	case <-p.readDone:
	case <-time.After(p.manager.LingerTimeout):
	}
}
