package clientlab

import (
	"bufio"
	"net"
	"sync"
	"time"

	"woodrouter/isup"
)

// stateInterval is the time between two states of a server's group, as of setup servers.
const stateInterval = 500 * time.Millisecond

// answerDelay is how long a server takes for a set-up.
const answerDelay = 10 * time.Millisecond

// server is a setup server that answers every set-up and counts those of each call.
type server struct {
	ln net.Listener

	mu    sync.Mutex
	calls map[uint64]int // set-ups received, by call
	conns map[*serverConn]bool
}

// serverConn is a connection from the agent.
type serverConn struct {
	net.Conn
	writing sync.Mutex
}

func (c *serverConn) send(m isup.Message) {
	b, err := m.Append(nil)
	if err != nil {
		return
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	c.Write(b) // if the connection has ended, its reader fails too
}

func startServer() (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{ln: ln, calls: map[uint64]int{}, conns: map[*serverConn]bool{}}
	go s.accept()
	return s, nil
}

func (s *server) addr() string { return s.ln.Addr().String() }

func (s *server) accept() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		c := &serverConn{Conn: conn}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c *serverConn) {
	ended := make(chan struct{})
	go func() {
		ticker := time.NewTicker(stateInterval)
		defer ticker.Stop()
		for {
			c.send(isup.Message{Type: isup.GroupState}.WithText(isup.Report, "x0:1000000;x1:1000000"))
			select {
			case <-ticker.C:
			case <-ended:
				return
			}
		}
	}()
	defer func() {
		close(ended)
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	for in := bufio.NewReaderSize(c, 64<<10); ; {
		m, err := isup.Read(in)
		if err != nil {
			return
		}
		s.handle(c, m)
	}
}

func (s *server) handle(c *serverConn, m isup.Message) {
	switch m.Type {
	case isup.SetUp:
		s.mu.Lock()
		s.calls[uint64(m.Call)]++
		s.mu.Unlock()
		answer := isup.Message{Type: isup.Answer, Call: m.Call}.WithText(isup.Description, "room of "+m.Call.String())
		time.AfterFunc(answerDelay, func() { c.send(answer) })
	case isup.Release:
		c.send(isup.Message{Type: isup.Released, Call: m.Call})
	case isup.Test:
		c.send(isup.Message{Type: isup.TestResult, Call: m.Call}.WithCause(isup.Passed).WithText(isup.Report, "x0:1000000;x1:1000000"))
	}
}

// countInto adds the set-ups received of each call.
func (s *server) countInto(counts map[uint64]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.calls {
		counts[id] += n
	}
}

func (s *server) close() {
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}
