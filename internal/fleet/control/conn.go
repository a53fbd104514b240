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
	maxMessageBytes    = 512 << 10 // bytes of one gob message: a document with room, or a report's refusals
	maxTypeDefinitions = 64        // definitions of types on a connection; a caller of one service has about 15
	maxPendingRequests = 8         // unanswered requests on a connection; more wait unread
	maxConnections     = 4200      // connections, two of each of 1,460 agents and room; further ones are ended
	requestTimeout     = 5 * time.Second
	answerTimeout      = 5 * time.Second  // to take an answer
	idleTimeout        = 30 * time.Second // between requests
)

// errBadRequest is a request that no caller of this service would send.
var errBadRequest = errors.New("control: no request")

// server takes callers' connections.
type server struct {
	rpc        *rpc.Server
	ln         net.Listener
	log        *slog.Logger
	background sync.WaitGroup

	mu          sync.Mutex
	conns       map[net.Conn]bool
	closed      bool
	lastWarning time.Time
}

// closeGrace is how long answers to waiting callers may still take as the machine ends.
const closeGrace = 200 * time.Millisecond

// Serve takes callers on the machine's client address, and operators at its console, until
// Close.
func (n *Node) Serve() (err error) {
	if n.closeConsole, err = n.openConsole(); err != nil {
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
	n.server.background.Go(n.server.accept)
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
		case !s.addConn(conn):
			conn.Close()
		}
	}
}

func (s *server) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if len(s.conns) >= maxConnections {
		s.warnLimited("caller turned away: too many connections", nil)
		return false
	}
	s.conns[conn] = true
	s.background.Go(func() {
		s.rpc.ServeCodec(newCodec(conn, s))
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	})
	return true
}

// warnLimited logs once a second at most: whoever floods us is not to fill the log. The lock is held.
func (s *server) warnLimited(msg string, err error, args ...any) {
	if time.Since(s.lastWarning) < time.Second {
		return
	}
	s.lastWarning = time.Now()
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
	cut := time.AfterFunc(closeGrace, s.closeConns)
	now := time.Now()
	s.mu.Lock()
	for conn := range s.conns {
		conn.SetReadDeadline(now) // nothing more is read; what waits is answered
	}
	s.mu.Unlock()
	s.background.Wait()
	cut.Stop()
}

func (s *server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

// codec is one connection, in net/rpc's gob form, within the bounds above.
type codec struct {
	conn            net.Conn
	server          *server
	in              *messageReader
	dec             *gob.Decoder
	out             *bufio.Writer
	enc             *gob.Encoder
	slots           chan struct{} // a place for each unanswered request
	readEnded       chan struct{} // closed when nothing more can be read
	endOnce         sync.Once
	hadRequest      bool          // a whole request has come
	sender          summarySender // whose summaries of load come here
	reportedBehind  atomic.Bool   // it was told in short that this machine knows less than it does
	reportedLagging atomic.Bool   // the last watch answered here heard that this machine lags
}

func newCodec(conn net.Conn, s *server) *codec {
	in := newMessageReader(bufio.NewReader(conn))
	out := bufio.NewWriter(conn)
	return &codec{conn: conn, server: s, in: in, dec: gob.NewDecoder(in), out: out, enc: gob.NewEncoder(out),
		slots: make(chan struct{}, maxPendingRequests), readEnded: make(chan struct{})}
}

func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	c.slots <- struct{}{} // WriteResponse gives it back
	err := c.awaitRequest()
	if err == nil {
		err = c.decode(r)
	}
	if err != nil {
		c.endReading(err)
	}
	return err
}

// awaitRequest waits for a request's first byte; the rest is to come within requestTime.
func (c *codec) awaitRequest() error {
	if c.in.err != nil {
		return c.in.err
	}
	idle := requestTimeout // whoever never asks is not to keep a place
	if c.hadRequest {
		idle = idleTimeout
	}
	if err := c.setReadTimeout(idle); err != nil {
		return err
	}
	if _, err := c.in.Source.Peek(1); err != nil {
		return err
	}
	return c.setReadTimeout(requestTimeout)
}

// setReadTimeout sets the time to read, unless the machine stops: that has set it to none.
func (c *codec) setReadTimeout(d time.Duration) error {
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
		err = c.bindSender(tell)
	}
	c.hadRequest = err == nil
	if err != nil && c.in.err == nil {
		c.in.err = fmt.Errorf("%w: %w", errBadRequest, err) // answered, and nothing after it is read
	}
	return err
}

// decode reads one value. A fault that junk finds in the decoder is an error of that junk.
func (c *codec) decode(v any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", errBadRequest, r)
			c.in.err = err // in the middle of a message: nothing after it can be read
		}
	}()
	return c.dec.Decode(v)
}

// endReading is told once that nothing more can be read, and why.
func (c *codec) endReading(err error) {
	c.endOnce.Do(func() {
		close(c.readEnded)
		var timeout net.Error
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &timeout) {
			return // the caller is gone, was idle, or the machine stops
		}
		c.server.mu.Lock()
		defer c.server.mu.Unlock()
		c.server.warnLimited("caller's connection ended", err, "caller", c.conn.RemoteAddr())
	})
}

func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.slots }()
	c.conn.SetWriteDeadline(time.Now().Add(answerTimeout))
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
	c.endReading(io.EOF)
	return c.conn.Close()
}

// messageReader reads gob messages, each within the bounds: gob itself takes messages of up to 1 GiB,
// and definitions of types without end.
type messageReader struct {
	gobframe.Reader
	typeDefinitions int   // definitions so far
	err             error // ends it
}

func newMessageReader(r *bufio.Reader) *messageReader {
	f := &messageReader{}
	f.Reader = gobframe.Reader{Source: r, MessageLength: func() (whole int, err error) {
		if f.err == nil {
			whole, f.err = f.checkHead()
		}
		return whole, f.err
	}}
	return f
}

// checkHead looks at a message's head: its length, and whether it is a definition of a type (whose
// id is negative, which gob writes as an odd number).
func (f *messageReader) checkHead() (int, error) {
	size, width, err := f.peekNumber(0)
	if err != nil {
		return 0, err
	}
	if size == 0 || size > maxMessageBytes {
		return 0, fmt.Errorf("%w: a message of %d bytes, most %d", errBadRequest, size, maxMessageBytes)
	}
	id, more, err := f.peekNumber(width)
	if err != nil {
		return 0, err
	}
	if uint64(more) > size {
		return 0, fmt.Errorf("%w: a message of %d bytes ends in its head", errBadRequest, size)
	}
	if id&1 == 1 {
		if f.typeDefinitions++; f.typeDefinitions > maxTypeDefinitions {
			return 0, fmt.Errorf("%w: more than %d definitions of types", errBadRequest, maxTypeDefinitions)
		}
	}
	return width + int(size), nil
}

// peekNumber peeks at an unsigned number of gob's at an offset, and tells its width.
func (f *messageReader) peekNumber(at int) (n uint64, width int, err error) {
	n, width, err = gobframe.PeekUint(f.Source, at)
	if errors.Is(err, gobframe.ErrInvalidUint) {
		err = fmt.Errorf("%w: %w", errBadRequest, err)
	}
	return n, width, err
}
