package control

import (
	"bufio"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"woodrouter/internal/fleet/stewards"
	"woodrouter/internal/gobframe"
)

// Bounds of what callers may take. A watch is a request that waits, so that a connection's
// bounds hold for watchers as for junk.
const (
	mostMessage  = 512 << 10 // bytes of one gob message: a document with room, or a report's refusals
	mostTypes    = 64        // definitions of types on a connection; a caller of one service has about 15
	mostRequests = 8         // unanswered requests on a connection; more wait unread
	mostConns    = 4200      // connections, two of each of 1,460 agents and room; further ones are ended
	requestTime  = 5 * time.Second
	answerTime   = 5 * time.Second  // to take an answer
	idleTime     = 30 * time.Second // between requests
)

// errJunk is a request that no caller of this service would send.
var errJunk = errors.New("control: no request")

// server takes callers' connections.
type server struct {
	rpc  *rpc.Server
	ln   net.Listener
	log  *slog.Logger
	done sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
	warned time.Time
}

// closeGrace is how long answers to waiting callers may still take as the machine ends.
const closeGrace = 200 * time.Millisecond

// Serve takes callers on the machine's client address, and operators at its console, until
// Close.
func (n *Node) Serve() (err error) {
	if n.console, err = n.openConsole(); err != nil {
		return err
	}
	srv := rpc.NewServer()
	if err := errors.Join(srv.RegisterName("Rollout", &Service{n}), srv.RegisterName("Spread", &Spread{n})); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", n.cfg.Client)
	if err != nil {
		return fmt.Errorf("field client: %w", err)
	}
	n.server = &server{rpc: srv, ln: ln, log: n.log, conns: map[net.Conn]bool{}}
	n.server.done.Go(n.server.accept)
	return nil
}

func (s *server) accept() {
	for {
		conn, err := s.ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // out of descriptors, mostly
			s.log.Warn("accept failed", "error", err)
			time.Sleep(10 * time.Millisecond)
		case !s.enter(conn):
			conn.Close()
		}
	}
}

func (s *server) enter(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if len(s.conns) >= mostConns {
		s.warn("caller turned away: too many connections", nil)
		return false
	}
	s.conns[conn] = true
	s.done.Go(func() {
		s.rpc.ServeCodec(newCodec(conn, s))
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	})
	return true
}

// warn logs once a second at most: whoever floods us is not to fill the log. The lock is held.
func (s *server) warn(msg string, err error, args ...any) {
	if time.Since(s.warned) < time.Second {
		return
	}
	s.warned = time.Now()
	if err != nil {
		args = append(args, "error", err)
	}
	s.log.Warn(msg, args...)
}

// close ends all connections, after a grace in which the waiting hear that the machine stops.
func (s *server) close() {
	s.ln.Close()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	cut := time.AfterFunc(closeGrace, s.cut)
	now := time.Now()
	s.mu.Lock()
	for conn := range s.conns {
		conn.SetReadDeadline(now) // nothing more is read; what waits is answered
	}
	s.mu.Unlock()
	s.done.Wait()
	cut.Stop()
}

func (s *server) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

// codec is one connection, in net/rpc's gob form, within the bounds above.
type codec struct {
	conn   net.Conn
	server *server
	in     *frames
	dec    *gob.Decoder
	out    *bufio.Writer
	enc    *gob.Encoder
	places chan struct{} // a place for each unanswered request
	gone   chan struct{} // closed when nothing more can be read
	ended  sync.Once
	asked  bool        // a whole request has come
	speaks speaker     // whose summaries of load come here
	behind atomic.Bool // it was told in short that this machine knows less than it does
	told   atomic.Bool // the last watch answered here heard that this machine lags
}

func newCodec(conn net.Conn, s *server) *codec {
	in := newFrames(bufio.NewReader(conn))
	out := bufio.NewWriter(conn)
	return &codec{conn: conn, server: s, in: in, dec: gob.NewDecoder(in), out: out, enc: gob.NewEncoder(out),
		places: make(chan struct{}, mostRequests), gone: make(chan struct{})}
}

func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	c.places <- struct{}{} // WriteResponse gives it back
	err := c.await()
	if err == nil {
		err = c.decode(r)
	}
	if err != nil {
		c.end(err)
	}
	return err
}

// await waits for a request's first byte; the rest is to come within requestTime.
func (c *codec) await() error {
	if c.in.err != nil {
		return c.in.err
	}
	idle := requestTime // whoever never asks is not to keep a place
	if c.asked {
		idle = idleTime
	}
	if err := c.readBy(idle); err != nil {
		return err
	}
	if _, err := c.in.From.Peek(1); err != nil {
		return err
	}
	return c.readBy(requestTime)
}

// readBy sets the time to read, unless the machine stops: that has set it to none.
func (c *codec) readBy(d time.Duration) error {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.server.closed {
		return net.ErrClosed
	}
	return c.conn.SetReadDeadline(time.Now().Add(d))
}

func (c *codec) ReadRequestBody(body any) error {
	if w, ok := body.(*WatchCall); ok {
		w.from = c
		// gob makes a map that is nil as large as the message says it is; one that is there
		// only takes what has come.
		w.Have, w.Report.Seen, w.Report.InForce = map[string]uint64{}, map[string]uint64{}, map[string]uint64{}
		body = &w.WatchArgs
	}
	err := c.decode(body)
	if tell, ok := body.(*stewards.TellArgs); ok && err == nil {
		err = c.bind(tell)
	}
	c.asked = err == nil
	if err != nil && c.in.err == nil {
		c.in.err = fmt.Errorf("%w: %w", errJunk, err) // answered, and nothing after it is read
	}
	return err
}

// decode reads one value. A fault that junk finds in the decoder is an error of that junk.
func (c *codec) decode(v any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", errJunk, r)
			c.in.err = err // in the middle of a message: nothing after it can be read
		}
	}()
	return c.dec.Decode(v)
}

// end is told once that nothing more can be read, and why.
func (c *codec) end(err error) {
	c.ended.Do(func() {
		close(c.gone)
		var timeout net.Error
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &timeout) {
			return // the caller is gone, was idle, or the machine stops
		}
		c.server.mu.Lock()
		defer c.server.mu.Unlock()
		c.server.warn("caller's connection ended", err, "caller", c.conn.RemoteAddr())
	})
}

func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.places }()
	c.conn.SetWriteDeadline(time.Now().Add(answerTime))
	err := c.enc.Encode(r)
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.out.Flush()
	}
	if err != nil {
		c.conn.Close() // the caller can't tell answers apart any more
	}
	return err
}

func (c *codec) Close() error {
	c.end(io.EOF)
	return c.conn.Close()
}

// frames reads gob messages, each within the bounds: gob itself takes messages of up to 1 GiB,
// and definitions of types without end.
type frames struct {
	gobframe.Reader
	types int   // definitions so far
	err   error // ends it
}

func newFrames(r *bufio.Reader) *frames {
	f := &frames{}
	f.Reader = gobframe.Reader{From: r, Head: func() (whole int, err error) {
		if f.err == nil {
			whole, f.err = f.next()
		}
		return whole, f.err
	}}
	return f
}

// next looks at a message's head: its length, and whether it is a definition of a type (whose
// id is negative, which gob writes as an odd number).
func (f *frames) next() (int, error) {
	size, width, err := f.number(0)
	if err != nil {
		return 0, err
	}
	if size == 0 || size > mostMessage {
		return 0, fmt.Errorf("%w: a message of %d bytes, most %d", errJunk, size, mostMessage)
	}
	id, more, err := f.number(width)
	if err != nil {
		return 0, err
	}
	if uint64(more) > size {
		return 0, fmt.Errorf("%w: a message of %d bytes ends in its head", errJunk, size)
	}
	if id&1 == 1 {
		if f.types++; f.types > mostTypes {
			return 0, fmt.Errorf("%w: more than %d definitions of types", errJunk, mostTypes)
		}
	}
	return width + int(size), nil
}

// number peeks at an unsigned number of gob's at an offset, and tells its width.
func (f *frames) number(at int) (n uint64, width int, err error) {
	n, width, err = gobframe.Number(f.From, at)
	if errors.Is(err, gobframe.ErrNumber) {
		err = fmt.Errorf("%w: %w", errJunk, err)
	}
	return n, width, err
}
