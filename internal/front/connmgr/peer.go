package connmgr

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"woodrouter/internal/mailbox"
	"woodrouter/internal/recent"
)

// Kind says what to do about a message that can't be written.
type Kind int

// The kinds. For an undelivered answer the call is released; the undelivered end of a call is sent on another
// connection.
const (
	KindOther Kind = iota
	KindAnswer
	KindEnd
)

// Message is an encoded outgoing message.
type Message struct {
	ID   string
	Kind Kind
	Data []byte

	endedAt time.Time // of KindEnd: when the call's end was reported
}

// Peer is one caller's connection. One goroutine reads it, and an actor writes it.
type Peer struct {
	In       *bufio.Reader
	manager  *Manager
	conn     net.Conn
	host     string
	queue    *mailbox.Queue[Message]
	readDone chan struct{} // closed once reading has ended

	opened      time.Time
	gotMessage  atomic.Bool  // a complete message was received
	midMessage  atomic.Bool  // a message is partly received or not handled yet
	lastUsed    atomic.Int64 // last use or receipt of bytes, in Unix nanoseconds
	idleTimeout time.Duration

	idleMessages *rate.Limiter // limits messages that concern no open call
	paced        atomic.Bool   // it is, or was lately, over that limit
	pacedSince   time.Time     // since when it is paced; used by the reader alone

	ready       atomic.Bool // it can be sent ends of calls
	hadStanding atomic.Bool // a call that stood was answered or released on it

	readDeadline time.Time // by when the awaited bytes must arrive; used by the reader alone
	deadlineSet  bool      // readDeadline is set on the connection

	endsMu      sync.Mutex   // guards the three fields below
	writtenEnds []writtenEnd // the last ones, not confirmed by the caller
	callerLeft  bool         // reading has ended
	readError   error        // why it has

	departed bool               // the caller has closed the connection; used by the reader alone
	lookedAt time.Time          // when the reader last looked whether it has
	ignored  recent.Set[string] // calls that came from it after that

	heldBytes int64 // counted in manager.heldBytes; used by the reader alone

	linger atomic.Bool // closeWrite waits for the caller to see the close

	openSetUps, calls int         // set-ups without an answer, and all calls; guarded by manager.mu
	retirement        *Retirement // how it is served until it is closed; nil: it stays; guarded by manager.mu
}

// evictBefore orders connections without a call for eviction: those that never received a message go before
// those that did, and the longest unused go first. Connections in the middle of a message go last.
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
		queue: mailbox.New[Message](m.MaxQueued), idleMessages: newIdleMessageLimiter()}
	p.In = bufio.NewReaderSize(deadlineReader{p}, 4<<10)
	p.touch()
	return p
}

// deadlineReader reads a connection and records the receipt of bytes as use, so that a caller that writes
// slowly is not idle. The deadline is set on the connection only here, where bytes must be waited for: most
// messages are there completely once they have begun.
type deadlineReader struct{ p *Peer }

func (r deadlineReader) Read(b []byte) (int, error) {
	if !r.p.deadlineSet {
		r.p.conn.SetReadDeadline(r.p.readDeadline)
		r.p.deadlineSet = true
	}
	n, err := r.p.conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && unreadBytes(r.p.conn) > 0 { // they came in time: this process was late
		r.p.conn.SetReadDeadline(time.Now().Add(lateReadTimeout))
		n, err = r.p.conn.Read(b)
		r.p.deadlineSet = false
	}
	if n > 0 {
		r.p.touch()
	}
	return n, err
}

// lateReadTimeout is the time for reading bytes that have come already.
const lateReadTimeout = 100 * time.Millisecond

// Send queues a message. A caller that is too slow to take its messages is disconnected. It fails on a connection that is
// being closed.
func (p *Peer) Send(message Message) bool {
	if p.queue.Offer(message) {
		return true
	}
	if !p.queue.Closed() {
		p.conn.Close()
	}
	return false
}

// sendOwed queues the answer to a set-up, also above the limit of the queue: that calls have their answers at the same time
// must not cost their caller its connection. The open calls bound their number, and Offer waits while the queue is full.
func (p *Peer) sendOwed(message Message) bool { return p.queue.Post(message) }

// LocalAddr returns the address at which the caller has connected.
func (p *Peer) LocalAddr() net.Addr { return p.conn.LocalAddr() }

// inUse reports whether the caller has sent something that is not handled yet. A message of which nothing more has come for
// MessageTimeout does not count.
func (p *Peer) inUse() bool {
	return p.midMessage.Load() && p.sinceUsed() < p.manager.MessageTimeout || unreadBytes(p.conn) > 0
}

// startClosing closes the connection once its queued messages are written. With linger, the bytes that the
// caller has on the way are read first and discarded: closing with unread bytes resets the connection, and
// the caller would lose the answers that it has not read yet.
func (p *Peer) startClosing(linger bool) {
	p.linger.Store(linger)
	if p.ready.Load() && len(p.manager.CloseMessage) > 0 {
		p.queue.Offer(Message{Data: p.manager.CloseMessage})
	}
	p.queue.Close()
}

// Fail closes the connection because of a fault of the caller.
func (p *Peer) Fail(err error) {
	p.manager.Log.Warn("caller's connection ended", "caller", p.conn.RemoteAddr(), "error", err)
	p.conn.Close()
}

// ErrIdle reports that no message began within the idle time.
var ErrIdle = errors.New("idle")

// errNoMessage reports that a new connection sent no complete message.
var errNoMessage = errors.New("no complete message in time")

// AwaitMessage waits for the next message to begin; it returns ErrIdle after IdleTimeout without one. A
// message that has begun must be read completely within MessageTimeout. A connection's first message must be
// complete within FirstMessageTimeout of the accept: this tells a connection that is only held open from a
// caller between two calls.
func (p *Peer) AwaitMessage() error {
	p.noticeDeparture()
	if err := p.pace(); err != nil {
		return err
	}
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

// setReadDeadline sets the deadline for the bytes that are read from now on.
func (p *Peer) setReadDeadline(deadline time.Time) { p.readDeadline, p.deadlineSet = deadline, false }

// MessageRead records that a complete message was read.
func (p *Peer) MessageRead() {
	p.touch()
	p.gotMessage.Store(true)
}

// MessageHandled records that the message that was read is handled: a set-up in it is open by now, or answered.
func (p *Peer) MessageHandled() { p.midMessage.Store(p.In.Buffered() > 0) }

// touch records that the connection was used now.
func (p *Peer) touch() { p.lastUsed.Store(time.Now().UnixNano()) }

// sinceUsed returns how long the connection has been unused.
func (p *Peer) sinceUsed() time.Duration {
	return time.Duration(time.Now().UnixNano() - p.lastUsed.Load())
}

// Busy reports whether a set-up is open on the connection.
func (p *Peer) Busy() bool { return p.manager.busy(p) }

// readAll runs the handler until the connection ends, then removes the connection.
func (p *Peer) readAll() {
	defer close(p.readDone)
	err := p.runHandler()
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		p.manager.Log.Warn("caller's connection ended", "caller", p.conn.RemoteAddr(), "error", err)
	}
	p.manager.Log.Debug("caller's connection closed", "caller", p.conn.RemoteAddr(), "reason", err)
	p.setReadError(err)
	p.midMessage.Store(false)
	p.HoldBytes(0)
	p.manager.removePeer(p)
	p.queue.Close() // the writer sends what is queued, then closes the connection
	if p.linger.Load() {
		p.conn.SetReadDeadline(time.Now().Add(p.manager.LingerTimeout))
		io.Copy(io.Discard, p.conn)
	}
}

// runHandler runs the handler and turns a panic into an error, so that it ends this connection only.
func (p *Peer) runHandler() (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v\n%s", r, debug.Stack())
		}
	}()
	return p.manager.handler(p)
}

// writeAll writes the queued messages until the queue is closed, then closes the connection.
func (p *Peer) writeAll() {
	defer p.manager.closePeer(p)
	for {
		message, ok := p.queue.Take()
		if !ok {
			p.resendUnread()
			p.closeWrite()
			return
		}
		if message.Kind == KindEnd && p.left() {
			p.handleUnsent(message)
			continue
		}
		if err := p.write(message.Data); err != nil {
			p.conn.Close()
			p.handleUnsent(message)
			continue
		}
		if message.Kind == KindEnd {
			p.addWrittenEnd(message)
		}
	}
}

// write writes a message within WriteTimeout. If the time is over although the caller has taken all before, this process did
// not run meanwhile, and the message gets the time once more.
func (p *Peer) write(data []byte) error {
	p.conn.SetWriteDeadline(time.Now().Add(p.manager.WriteTimeout))
	n, err := p.conn.Write(data)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && allSent(p.conn) {
		p.conn.SetWriteDeadline(time.Now().Add(p.manager.WriteTimeout))
		_, err = p.conn.Write(data)
	}
	return err
}

// handleUnsent releases the call of an answer that was not written, and sends the end of a call on another
// connection.
func (p *Peer) handleUnsent(message Message) {
	switch message.Kind {
	case KindAnswer:
		p.manager.releaseUndelivered(message.ID)
	case KindEnd:
		p.manager.deliverEnd(message, p.host, nil)
	}
}

// closeWrite signals the end of the stream and gives the caller the time to see it.
func (p *Peer) closeWrite() {
	halfCloser, ok := p.conn.(interface{ CloseWrite() error })
	if !ok || !p.linger.Load() || halfCloser.CloseWrite() != nil {
		return
	}
	select {
	case <-p.readDone:
	case <-time.After(p.manager.LingerTimeout):
	}
}
