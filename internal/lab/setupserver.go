package lab

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"woodrouter/internal/faultnet"
	"woodrouter/isup"
)

// SetupServer is a setup server that records which agent sent it which set-up. It tells agents apart by
// its address, as each agent has a different one for it. It answers 94 % of the set-ups, most at once and
// some up to 300 ms late, refuses 3 % as overloaded and leaves 3 % unanswered.
type SetupServer struct {
	Steady bool // answer every set-up at once
	host   string

	mu        sync.Mutex
	rng       *rand.Rand
	listeners map[string]net.Listener // by agent
	conns     map[net.Conn]bool
	sent      map[isup.CallID]map[string]int // number of set-ups received of each call, by agent
	answers   int                            // answers given, for a different description in each
}

// NewSetupServer returns a server that has no address yet. Its behaviour is drawn from seed.
func NewSetupServer(seed uint64) *SetupServer {
	return &SetupServer{rng: rand.New(rand.NewPCG(seed, 3)), listeners: map[string]net.Listener{}, conns: map[net.Conn]bool{}, sent: map[isup.CallID]map[string]int{}}
}

// ListenFor starts a listener for one agent and returns its address. The server has a host of its own, so
// that nobody else takes its ports between Crash and Restart.
func (s *SetupServer) ListenFor(agent string) (string, error) {
	if s.host == "" {
		var err error
		if s.host, err = faultnet.NewHost(); err != nil {
			return "", err
		}
	}
	return s.listenAt(agent, s.host+":0")
}

func (s *SetupServer) listenAt(agent, addr string) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	s.listeners[agent] = ln
	s.mu.Unlock()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(agent, conn)
		}
	}()
	return ln.Addr().String(), nil
}

// Crash closes the listeners and resets all connections, as when a server's process is killed.
func (s *SetupServer) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ln := range s.listeners {
		ln.Close()
	}
	for conn := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
}

// Restart listens on the same addresses again.
func (s *SetupServer) Restart() error {
	s.mu.Lock()
	at := map[string]string{}
	for agent, ln := range s.listeners {
		at[agent] = ln.Addr().String()
	}
	s.mu.Unlock()
	for agent, addr := range at {
		if _, err := s.listenAt(agent, addr); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the server's listeners and connections.
func (s *SetupServer) Close() { s.Crash() }

// Received reports whether the server received a set-up of the call.
func (s *SetupServer) Received(id isup.CallID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sent[id]) > 0
}

func (s *SetupServer) serve(agent string, conn net.Conn) {
	s.mu.Lock()
	s.conns[conn] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		conn.Close()
	}()
	var write sync.Mutex
	send := func(m isup.Message) {
		if b, err := m.Append(nil); err == nil {
			write.Lock()
			defer write.Unlock()
			conn.Write(b) // if the connection is closed, the read fails too
		}
	}
	send(isup.Message{Type: isup.GroupState}.WithText(isup.Report, "x0:900;x1:1000"))
	for in := bufio.NewReader(conn); ; {
		m, err := isup.Read(in)
		if err != nil {
			return
		}
		if m.Type == isup.SetUp {
			if reply, after, ok := s.decide(agent, m.Call); ok {
				time.AfterFunc(after, func() { send(reply) })
			}
		}
	}
}

// decide records a set-up and draws the reply and its delay. ok is false for no reply.
func (s *SetupServer) decide(agent string, id isup.CallID) (reply isup.Message, after time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent[id] == nil {
		s.sent[id] = map[string]int{}
	}
	s.sent[id][agent]++
	n := s.rng.IntN(100)
	if s.Steady {
		n = 0
	}
	if n >= 80 {
		after = time.Duration(s.rng.IntN(300)) * time.Millisecond
	}
	switch {
	case n >= 97:
		return reply, 0, false
	case n >= 94:
		return isup.Message{Type: isup.Release, Call: id}.WithCause(isup.NoCircuit).WithText(isup.Note, "overload"), after, true
	}
	s.answers++
	return isup.Message{Type: isup.Answer, Call: id}.WithText(isup.Description, fmt.Sprintf("room %d of %v", s.answers, id)), after, true
}

// SentByTwoAgents returns the calls that more than one agent sent to this server.
func (s *SetupServer) SentByTwoAgents() (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, by := range s.sent {
		if len(by) > 1 {
			out = append(out, fmt.Sprintf("%v by %v", id, by))
		}
	}
	return out
}

// CallResult is what became of a set-up, as its caller learned.
type CallResult struct {
	Served string        // the answer's description; "": the call does not stand
	Away   time.Duration // least time until the caller may try again, of a refusal
	Err    error         // why there was no answer
}

// Limits of one set-up of a caller: for the call, and for connecting to the agent.
const (
	callTimeout = 3 * time.Second
	dialTimeout = 500 * time.Millisecond
)

// SetUpCall sends an agent one set-up on a new connection and returns the result.
func SetUpCall(addr string, id isup.CallID) CallResult {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return CallResult{Err: err}
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(callTimeout + time.Second))
	b, err := isup.Message{Type: isup.SetUp, Call: id}.WithText(isup.Class, "voice").WithMillis(isup.TimeLeft, callTimeout).
		WithText(isup.Number, id.String()).WithText(isup.Figures, "dest:0;width:1;via:-1").WithText(isup.Description, "offer").Append(nil)
	if err != nil {
		return CallResult{Err: err}
	}
	if _, err := conn.Write(b); err != nil {
		return CallResult{Err: err}
	}
	for in := bufio.NewReader(conn); ; {
		m, err := isup.Read(in)
		switch {
		case err != nil:
			return CallResult{Err: err}
		case m.Call != id:
		case m.Type == isup.Answer:
			return CallResult{Served: m.Text(isup.Description)}
		case m.Type == isup.Release:
			retryAfter, _ := m.Millis(isup.RetryAfter)
			return CallResult{Away: retryAfter}
		}
	}
}
