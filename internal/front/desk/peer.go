package desk

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
	Other Kind = iota
	Answer
	End
)

// Item is a message as it goes out.
type Item struct {
	ID   string
	Kind Kind
	Data []byte
}

// Peer is one caller's connection: a goroutine reads it, its actor writes.
type Peer struct {
	In   *bufio.Reader
	desk *Desk
	conn net.Conn
	host string
	box  *mailbox.Box[Item]
	read chan struct{} // closed once nothing more is read of it

	born  time.Time
	said  atomic.Bool  // a message of it was whole
	begun atomic.Bool  // a message of it has begun and is not whole
	used  atomic.Int64 // when it was used last, or bytes of it came, in Unix nanoseconds
	idle  time.Duration
	ready atomic.Bool // it can be sent releases

	due   time.Time // the reader's: what it waits for must have come by then
	timed bool      // that is set on the connection

	linger atomic.Bool // it leaves without haste

	open, calls int // set-ups without an answer, and all calls; guarded by the desk
}

// before orders connections without a call by how little they would be missed.
func (p *Peer) before(q *Peer) bool {
	if p.begun.Load() != q.begun.Load() {
		return q.begun.Load()
	}
	if p.said.Load() != q.said.Load() {
		return q.said.Load()
	}
	return p.used.Load() < q.used.Load()
}

func newPeer(d *Desk, conn net.Conn) *Peer {
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	p := &Peer{desk: d, conn: conn, born: time.Now(), host: host, read: make(chan struct{}),
		box: mailbox.New[Item](d.MaxWaiting)}
	p.In = bufio.NewReaderSize(arrivals{p}, 4<<10)
	p.touch()
	return p
}

// arrivals reads a connection and notes that something came: whoever writes slowly is not idle. The
// deadline is set on the connection only here, where something must be waited for: most messages are
// there whole once they have begun.
type arrivals struct{ p *Peer }

func (a arrivals) Read(b []byte) (int, error) {
	if !a.p.timed {
		a.p.conn.SetReadDeadline(a.p.due)
		a.p.timed = true
	}
	n, err := a.p.conn.Read(b)
	if n > 0 {
		a.p.touch()
	}
	return n, err
}

// Send queues a message. A caller too slow to take its messages is cut off.
func (p *Peer) Send(i Item) bool {
	if p.box.Offer(i) {
		return true
	}
	p.conn.Close()
	return false
}

// leave ends the connection once what waits for it is written. linger: what its caller has on the
// way is read first and passed over, as a close with bytes unread resets the connection, and with
// it the answers that the caller has not read yet.
func (p *Peer) leave(linger bool) {
	p.linger.Store(linger)
	if p.ready.Load() && len(p.desk.Goodbye) > 0 {
		p.box.Offer(Item{Data: p.desk.Goodbye})
	}
	p.box.Close()
}

// Fail ends the connection for a fault of the caller.
func (p *Peer) Fail(err error) {
	p.desk.Log.Warn("caller's connection ended", "caller", p.conn.RemoteAddr(), "error", err)
	p.conn.Close()
}

// ErrIdle tells that the next message did not begin in time.
var ErrIdle = errors.New("idle")

// errNothing tells that a new connection said nothing, or half a message.
var errNothing = errors.New("no whole message in time")

// Await waits for the next message to begin, ErrIdle telling of a long silence. What has
// begun is to be read whole within MessageTime. All that a connection says first has
// FirstTime: who only holds it open is told apart from a caller between two calls.
func (p *Peer) Await() error {
	if !p.said.Load() {
		p.by(p.born.Add(p.desk.FirstTime))
		_, err := p.In.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return errNothing
		}
		p.begun.Store(err == nil)
		return err
	}
	p.by(time.Now().Add(p.idle))
	_, err := p.In.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrIdle
	}
	p.begun.Store(err == nil)
	p.by(time.Now().Add(p.desk.MessageTime))
	return err
}

// by has what is read from now on come by then.
func (p *Peer) by(due time.Time) { p.due, p.timed = due, false }

// Said notes that a message was read whole.
func (p *Peer) Said() {
	p.said.Store(true)
	p.begun.Store(false)
	p.touch()
}

func (p *Peer) touch() { p.used.Store(time.Now().UnixNano()) }

// quiet is how long the connection has not been used.
func (p *Peer) quiet() time.Duration { return time.Duration(time.Now().UnixNano() - p.used.Load()) }

// Busy tells whether a set-up is open on the connection.
func (p *Peer) Busy() bool { return p.desk.busy(p) }

func (p *Peer) readAll() {
	defer close(p.read)
	err := p.converse()
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		p.desk.Log.Warn("caller's connection ended", "caller", p.conn.RemoteAddr(), "error", err)
	}
	p.begun.Store(false)
	p.desk.forget(p)
	p.box.Close() // the writer says what is left, and closes
	if p.linger.Load() {
		p.conn.SetReadDeadline(time.Now().Add(p.desk.Linger))
		io.Copy(io.Discard, p.conn)
	}
}

// converse stops a panic at the connection.
func (p *Peer) converse() (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v\n%s", r, debug.Stack())
		}
	}()
	return p.desk.converse(p)
}

func (p *Peer) write() {
	defer p.desk.shut(p)
	for {
		i, ok := p.box.Take()
		if !ok {
			p.part()
			return
		}
		p.conn.SetWriteDeadline(time.Now().Add(p.desk.WriteTimeout))
		if _, err := p.conn.Write(i.Data); err != nil {
			p.conn.Close()
			p.unsent(i)
		}
	}
}

func (p *Peer) unsent(i Item) {
	switch i.Kind {
	case Answer:
		p.desk.undelivered(i.ID)
	case End:
		p.desk.sayEnded(owed{i, p.host, time.Now()}, nil)
	}
}

// part says that nothing more comes, and gives the caller the time to see it.
func (p *Peer) part() {
	half, ok := p.conn.(interface{ CloseWrite() error })
	if !ok || !p.linger.Load() || half.CloseWrite() != nil {
		return
	}
	select {
	case <-p.read:
	case <-time.After(p.desk.Linger):
	}
}
