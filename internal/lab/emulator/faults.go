package emulator

import (
	"fmt"
	"net"
	"slices"
	"syscall"
	"time"

	"woodrouter/isup"
)

// Observer is told of the calls that stand at setup servers, for rules that are checked after a run. Its methods
// are called with the server's lock held and must not block.
type Observer interface {
	// SetUpReceived reports a set-up that has arrived whole.
	SetUpReceived(id isup.CallID)
	// CallStood reports an answer that is about to be written.
	CallStood(id isup.CallID, agent int, server, description string)
	// CallEnded reports that a call which stood has ended at its server.
	CallEnded(id isup.CallID, server string)
	// CallReleased reports that the agent has released a call which stood.
	CallReleased(id isup.CallID, server string)
	// EndWritten reports that the server has written the release of a call which has ended, on a connection that was
	// open for the time of the link's delay after that.
	EndWritten(id isup.CallID, server string)
}

// noObserver is an Observer that ignores everything.
type noObserver struct{}

func (noObserver) SetUpReceived(isup.CallID)                  {}
func (noObserver) CallStood(isup.CallID, int, string, string) {}
func (noObserver) CallEnded(isup.CallID, string)              {}
func (noObserver) CallReleased(isup.CallID, string)           {}
func (noObserver) EndWritten(isup.CallID, string)             {}

// Spoilt says how a server spoils an answer.
type Spoilt int

// The ways to spoil an answer.
const (
	AnswerWhole     Spoilt = iota // it is not spoilt
	AnswerRepeated                // a second copy follows some milliseconds later
	AnswerMistaken                // an answer to an id that nobody asked for comes before it
	AnswerGarbled                 // bytes that are no message come in its place
	AnswerTruncated               // the connection ends in the middle of it
	AnswerReset                   // the connection is reset in its place
	spoiltKinds
)

// repeatDelay is how long after an answer its second copy is sent.
const repeatDelay = 3 * time.Millisecond

// SpoilAnswers makes the server spoil this share of its answers, in ways drawn at random.
func (s *Server) SpoilAnswers(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spoilShare = share
}

// Hang makes the process hang for d: it works on nothing and sends nothing, and goes on where it was after that.
func (s *Server) Hang(d time.Duration) {
	s.Stall(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hungUntil = time.Now().Add(d)
}

// IdleEnd is a way in which a server ends an idle connection.
type IdleEnd int

// The ways to end an idle connection. A forgotten one stays open, and its server neither reads nor writes it any more.
const (
	IdleClosed IdleEnd = iota
	IdleReset
	IdleForgotten
	IdleEnds // their number
)

// EndIdle ends the connections on which no set-up waits.
func (s *Server) EndIdle(how IdleEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := map[*agentConn]bool{}
	for _, u := range s.calls {
		if !u.stands {
			waiting[u.peer] = true
		}
	}
	for p := range s.conns {
		if waiting[p] {
			continue
		}
		delete(s.conns, p)
		switch how {
		case IdleClosed:
			go p.Close()
		case IdleReset:
			go p.reset()
		case IdleForgotten:
			p.forgotten = true
		}
	}
}

// GreetLate delays the first message on connections that are accepted from now on; 0 ends it.
func (s *Server) GreetLate(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.greetDelay = d
}

// hung returns for how much longer the process hangs.
func (s *Server) hung() time.Duration { return max(time.Until(s.hungUntil), 0) }

// send sends a message, once the process no longer hangs and the connection is not muted.
func (s *Server) send(p *agentConn, m isup.Message) {
	p.sendAfter(s.sendDelay(p), m)
}

// sendDelay returns how long a message has to wait until the process no longer hangs and the connection is not muted.
func (s *Server) sendDelay(p *agentConn) time.Duration {
	return max(s.hung(), time.Until(p.mutedUntil))
}

// endLifetime is how long a server repeats the release of a call on an agent's new connections.
const endLifetime = 5 * time.Second

// serverEnd is the release of a call that has ended.
type serverEnd struct {
	message isup.Message
	at      time.Time
}

// sendEnd sends the release of a call that has ended on the connection of its set-up, or else on any other of
// its agent, and keeps it for the agent's next connections as well.
func (s *Server) sendEnd(p *agentConn, m isup.Message) {
	if !s.conns[p] {
		for o := range s.conns {
			if o.agent == p.agent {
				p = o
				break
			}
		}
	}
	s.recentEnds[p.agent] = append(s.recentEnds[p.agent], serverEnd{m, time.Now()})
	if s.conns[p] {
		s.writeEnds(p, s.recentEnds[p.agent][len(s.recentEnds[p.agent])-1:])
	}
}

// repeatEnds sends the releases of calls that have ended on an agent's new connection, once it is not muted.
func (s *Server) repeatEnds(p *agentConn) {
	if wait := s.sendDelay(p); wait > 0 {
		time.AfterFunc(wait, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.repeatEnds(p)
		})
		return
	}
	s.recentEnds[p.agent] = slices.DeleteFunc(s.recentEnds[p.agent], func(e serverEnd) bool { return time.Since(e.at) > endLifetime })
	s.writeEnds(p, s.recentEnds[p.agent])
}

// writeEnds writes releases on a connection, and reports those that can have arrived to the observer.
func (s *Server) writeEnds(p *agentConn, ends []serverEnd) {
	link := s.links[p.agent]
	reachable := s.sendDelay(p) <= 0 && !link.Splits()
	for _, e := range ends {
		s.send(p, e.message)
		time.AfterFunc(s.world.LinkDelay+repeatDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if reachable && s.conns[p] && !link.HeldWithin(s.world.LinkDelay+repeatDelay) {
				s.world.Observer.EndWritten(e.message.Call, s.ID)
			}
		})
	}
}

// drawSpoilt draws how the next answer is spoilt.
func (s *Server) drawSpoilt() Spoilt {
	if s.rng.Float64() >= s.spoilShare {
		return AnswerWhole
	}
	return AnswerRepeated + Spoilt(s.rng.IntN(int(spoiltKinds-AnswerRepeated)))
}

// loses reports whether the agent does not get the answer.
func (k Spoilt) loses() bool { return k >= AnswerGarbled }

// sendAnswer sends an answer that arrives, and what spoils it.
func (s *Server) sendAnswer(k Spoilt, p *agentConn, answer isup.Message) {
	if k == AnswerMistaken {
		s.send(p, isup.Message{Type: isup.Answer, Call: answer.Call ^ mistakenBit}.WithText(isup.Description, "for nobody"))
	}
	s.send(p, answer)
	if k == AnswerRepeated {
		time.AfterFunc(repeatDelay, func() { p.send(answer) })
	}
}

// loseAnswer sends what comes in the place of an answer.
func (s *Server) loseAnswer(k Spoilt, p *agentConn, answer isup.Message) {
	switch k {
	case AnswerGarbled:
		p.Write([]byte{0, 9, 250, 1, 2, 3, 4, 5, 6, 7, 8})
	case AnswerTruncated:
		p.truncate(answer)
		time.AfterFunc(s.world.LinkDelay+repeatDelay, func() { p.Close() })
	case AnswerReset:
		go p.reset()
	}
}

// mistakenBit turns a call's id into one that no caller uses.
const mistakenBit = 1 << 62

// blackHole is a listener whose accept queue is full, so that connections to its address never come up.
type blackHole struct {
	ln    net.Listener
	conns []net.Conn
}

// Vanish makes the machine disappear: open connections stay open and silent, new ones never come up, and its
// calls are lost. World.Restart brings it back, cold.
func (s *Server) Vanish() error {
	s.GoSilent()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ln.Close()
	hole, err := newBlackHole(s.addr)
	s.hole = hole
	return err
}

func newBlackHole(addr string) (*blackHole, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		return nil, err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil || listenErr != nil {
		return nil, fmt.Errorf("emulator: %v, %v", err, listenErr)
	}
	hole := &blackHole{ln: ln}
	for range 3 { // fills the accept queue; the last of them does not come up
		conn, err := net.DialTimeout("tcp", addr, 20*time.Millisecond)
		if err != nil {
			break
		}
		hole.conns = append(hole.conns, conn)
	}
	return hole, nil
}

func (h *blackHole) close() {
	if h == nil {
		return
	}
	h.ln.Close()
	for _, c := range h.conns {
		c.Close()
	}
}

// Remove takes a server off the list without a drain. Its process goes on for a while, with its calls, and then ends.
func (w *World) Remove(old *Server, processEndsAfter time.Duration) {
	w.dropListed(old)
	old.setStatus("removed")
	w.bulletin.announce(old)
	time.AfterFunc(processEndsAfter, old.Crash)
}

// Start starts a new, cold server in the group of another and lists it.
func (w *World) Start(like *Server) (*Server, error) {
	fresh, err := w.startServer(like.Group, time.Now())
	if err == nil {
		w.bulletin.announce(fresh)
	}
	return fresh, err
}
