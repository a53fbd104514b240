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

// Limits on what clients may use. A watch is an ordinary request that is answered late, so the limits
// of a connection hold for watchers as they do for clients that send garbage.
const (
	maxMessageBytes    = 512 << 10        // of one gob message; fits the largest document or report
	maxTypeDefinitions = 64               // gob type definitions per connection; one service needs about 15
	maxPendingRequests = 8                // unanswered requests per connection; further ones are not read yet
	maxConnections     = 4200             // two for each of 1,460 agents, and a reserve; further ones are closed
	requestTimeout     = 5 * time.Second  // for the rest of a request, and for the first one to begin
	answerTimeout      = 5 * time.Second  // for the client to read an answer
	idleTimeout        = 30 * time.Second // between two requests
)

// errBadRequest is for requests that no client of this service would send.
var errBadRequest = errors.New("control: no request")

// server accepts and serves the connections of net/rpc clients.
type server struct {
	rpc        *rpc.Server
	ln         net.Listener
	log        *slog.Logger
	background sync.WaitGroup // the accept loop and the connections

	mu          sync.Mutex
	conns       map[net.Conn]bool
	closed      bool
	lastWarning time.Time
}

// closeGrace is how long answers to waiting clients may still take when the machine stops.
const closeGrace = 200 * time.Millisecond

// Serve serves clients on the machine's client address, and operators at its console, until Close.
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

// accept accepts connections until the listener is closed.
func (s *server) accept() {
	for {
		conn, err := s.ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // most often out of file descriptors
			s.log.Warn("accept failed", "error", err)
			time.Sleep(10 * time.Millisecond)
		case !s.addConn(conn):
			conn.Close()
		}
	}
}

// addConn starts serving a connection. It returns false if the server is closed or has too many.
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

// warnLimited logs at most one warning a second, so that a flood of bad connections does not fill the
// log. The caller holds the lock.
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

// close closes all connections, after a grace period in which waiting clients are answered that the
// machine stops.
func (s *server) close() {
	s.ln.Close()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	timer := time.AfterFunc(closeGrace, s.closeConns)
	now := time.Now()
	s.mu.Lock()
	for conn := range s.conns {
		conn.SetReadDeadline(now) // no further requests are read; those pending are answered
	}
	s.mu.Unlock()
	s.background.Wait()
	timer.Stop()
}

func (s *server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

// codec is an rpc.ServerCodec for one connection. It reads and writes net/rpc's gob encoding within the
// limits above.
type codec struct {
	conn            net.Conn
	server          *server
	in              *messageReader
	dec             *gob.Decoder
	out             *bufio.Writer
	enc             *gob.Encoder
	slots           chan struct{} // limits the unanswered requests
	readEnded       chan struct{} // closed when nothing more can be read
	endOnce         sync.Once
	hadRequest      bool          // the last request was read whole
	sender          summarySender // the agent whose load summaries come on this connection
	reportedBehind  atomic.Bool   // a watch was answered early, as the watcher knew more than this machine
	reportedLagging atomic.Bool   // the last answer to a watch said that this machine lags
}

func newCodec(conn net.Conn, s *server) *codec {
	in := newMessageReader(bufio.NewReader(conn))
	out := bufio.NewWriter(conn)
	return &codec{conn: conn, server: s, in: in, dec: gob.NewDecoder(in), out: out, enc: gob.NewEncoder(out),
		slots: make(chan struct{}, maxPendingRequests), readEnded: make(chan struct{})}
}

func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	c.slots <- struct{}{} // released by WriteResponse
	err := c.awaitRequest()
	if err == nil {
		err = c.decode(r)
	}
	if err != nil {
		c.endReading(err)
	}
	return err
}

// awaitRequest waits for a request's first byte; the rest must come within requestTimeout.
func (c *codec) awaitRequest() error {
	if c.in.err != nil {
		return c.in.err
	}
	idle := requestTimeout // a client that has sent no request yet must not hold a connection for long
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

// setReadTimeout sets the read deadline, except when the machine stops: close has set it to the past.
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
		// gob allocates a nil map at the size that the message claims; an existing map only grows with
		// the entries that arrive.
		w.Have, w.Report.Seen, w.Report.InForce = map[string]uint64{}, map[string]uint64{}, map[string]uint64{}
		body = &w.WatchArgs
	}
	err := c.decode(body)
	if args, ok := body.(*stewards.TellArgs); ok && err == nil {
		err = c.bindSender(args)
	}
	c.hadRequest = err == nil
	if err != nil && c.in.err == nil {
		c.in.err = fmt.Errorf("%w: %w", errBadRequest, err) // net/rpc answers it; nothing more is read
	}
	return err
}

// decode reads one value. If malformed input makes the decoder panic, that is an error of this input.
func (c *codec) decode(v any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", errBadRequest, r)
			c.in.err = err // the decoder stopped inside a message, so nothing after it can be read
		}
	}()
	return c.dec.Decode(v)
}

// endReading marks that nothing more can be read, and logs the reason if it is a fault. Only the first
// call has an effect.
func (c *codec) endReading(err error) {
	c.endOnce.Do(func() {
		close(c.readEnded)
		var timeout net.Error
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &timeout) {
			return // the client left or was idle, or the machine stops
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
		c.conn.Close() // after half an answer the client can't decode the next
	}
	return err
}

func (c *codec) Close() error {
	c.endReading(io.EOF)
	return c.conn.Close()
}

// messageReader reads gob messages within the limits above: gob itself accepts messages of up to 1 GiB
// and any number of type definitions.
type messageReader struct {
	gobframe.Reader
	typeDefinitions int   // read so far
	err             error // the first error, after which nothing is read
}

func newMessageReader(r *bufio.Reader) *messageReader {
	m := &messageReader{}
	m.Reader = gobframe.Reader{Source: r, MessageLength: func() (whole int, err error) {
		if m.err == nil {
			whole, m.err = m.checkHead()
		}
		return whole, m.err
	}}
	return m
}

// checkHead peeks at a message's head and returns the length of the whole message. It counts type
// definitions, which are the messages with a negative type id; gob writes those as odd numbers.
func (m *messageReader) checkHead() (int, error) {
	size, width, err := m.peekNumber(0)
	if err != nil {
		return 0, err
	}
	if size == 0 || size > maxMessageBytes {
		return 0, fmt.Errorf("%w: a message of %d bytes, most %d", errBadRequest, size, maxMessageBytes)
	}
	id, more, err := m.peekNumber(width)
	if err != nil {
		return 0, err
	}
	if uint64(more) > size {
		return 0, fmt.Errorf("%w: a message of %d bytes ends in its head", errBadRequest, size)
	}
	if id&1 == 1 {
		if m.typeDefinitions++; m.typeDefinitions > maxTypeDefinitions {
			return 0, fmt.Errorf("%w: more than %d definitions of types", errBadRequest, maxTypeDefinitions)
		}
	}
	return width + int(size), nil
}

// peekNumber peeks at a gob unsigned integer at an offset and returns its value and its width in bytes.
func (m *messageReader) peekNumber(at int) (n uint64, width int, err error) {
	n, width, err = gobframe.PeekUint(m.Source, at)
	if errors.Is(err, gobframe.ErrInvalidUint) {
		err = fmt.Errorf("%w: %w", errBadRequest, err)
	}
	return n, width, err
}
