package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"woodrouter/internal/faultnet"
	"woodrouter/isup"
)

// Costs of messages, as parts of the work of one call. A set-up and the release of its call make up the
// whole; refusals, repeated set-ups and probes cost extra.
const (
	setupCost   = 0.7
	releaseCost = 0.3
	refuseCost  = 0.2
	repeatCost  = 0.2
	probeCost   = 0.02
)

// Server is a setup server: a processor with one first-in, first-out queue, and the calls that stand. Its
// methods may be called from any goroutine.
type Server struct {
	ID, Zone  string
	Group     int
	Rate      float64 // calls a second when warm
	lineCount int     // lines of its group
	world     *World
	links     []*faultnet.WrappedLink // by agent

	mu          sync.Mutex
	ln          net.Listener
	addr        string
	status      string    // on the list: up, draining or removed
	listedSince time.Time // its latest start, as the list gives it; zero: long ago
	startedAt   time.Time // start of its warm-up; zero: it is warm
	slowdown    float64   // factor by which its work takes longer
	silent      bool      // it accepts messages and sends none
	dead        bool      // its process has ended
	tipped      bool      // overloaded while cold; it stays down until restart
	busyUntil   time.Time // when its queued work will be done
	conns       map[*agentConn]bool
	calls       map[callKey]*serverCall
	recentWork  []arrival // work that arrived within TipAfter, while cold
	report      string    // the processor's figures at their last refresh
	reportedAt  time.Time // time of the last refresh
	workDone    float64   // processor time used since then, in seconds
	rng         *rand.Rand
	announcedAt map[string]int      // by status: index of its event in the bulletin
	spoilShare  float64             // share of the answers that are spoilt
	hungUntil   time.Time           // the process hangs until then
	greetDelay  time.Duration       // of the first message on a new connection
	recentEnds  map[int][]serverEnd // by agent: releases to repeat on its next connection
	hole        *blackHole          // takes the listener's place while the machine has vanished

	counts Counts
}

// Counts are a server's figures since its first start.
type Counts struct {
	SetUps, Stood, TurnedAway, Probes, Handshakes int
	Wasted                                        float64   // work for set-ups that did not stand, in calls
	Capacity                                      float64   // calls that it could have taken while running
	LastSetUp                                     time.Time // arrival of the last set-up
	countedAt                                     time.Time // Capacity is counted up to here
}

// callKey identifies a call at a server.
type callKey struct {
	agent int
	id    isup.CallID
}

// serverCall is a set-up that waits for its answer, or the call that stands after it.
type serverCall struct {
	peer        *agentConn
	stands      bool
	ended       bool
	description string
}

// arrival is work that arrived at a cold server.
type arrival struct {
	at   time.Time
	work float64 // in calls
	told bool    // by an agent that had been told of the start
}

// agentConn is a connection from an agent.
type agentConn struct {
	net.Conn
	agent      int
	mutedUntil time.Time // nothing is sent before that
	forgotten  bool      // the server ignores what comes on it; guarded by the server's mu

	mu        sync.Mutex
	held      []isup.Message // messages that wait until the process no longer hangs, in order
	truncated bool           // a part of a message was written, and nothing comes after it
}

// send sends a message behind those that are held.
func (p *agentConn) send(m isup.Message) { p.sendAfter(0, m) }

// sendAfter sends a message after a wait, in order with the others.
func (p *agentConn) sendAfter(wait time.Duration, m isup.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.held) == 0 && wait <= 0 {
		p.write(m)
		return
	}
	if p.held = append(p.held, m); len(p.held) == 1 {
		time.AfterFunc(wait, p.sendHeld)
	}
}

func (p *agentConn) sendHeld() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.held {
		p.write(m)
	}
	p.held = nil
}

// truncate writes a part of a message and nothing after it.
func (p *agentConn) truncate(m isup.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b, err := m.Append(nil); err == nil && !p.truncated {
		p.truncated = true
		p.Write(b[:len(b)/2])
	}
}

func (p *agentConn) write(m isup.Message) {
	if b, err := m.Append(nil); err == nil && !p.truncated {
		p.Write(b) // if the connection is closed, its reader fails too
	}
}

// entry returns the server's entry of the list.
func (s *Server) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := int64(0)
	if !s.listedSince.IsZero() {
		since = s.listedSince.UnixMilli()
	}
	return map[string]any{"name": s.ID, "address": s.addr, "zone": s.Zone, "type": "std", "group": s.Group,
		"status": s.status, "weight": 1, "since_ms": since}
}

func (s *Server) setStatus(status string) {
	s.mu.Lock()
	s.status = status
	s.mu.Unlock()
}

// recordAnnounced records the event that announces the present status.
func (s *Server) recordAnnounced(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.announcedAt == nil || s.status == "up" {
		s.announcedAt = map[string]int{}
	}
	if _, known := s.announcedAt[s.status]; !known {
		s.announcedAt[s.status] = index
	}
}

// drainAnnounced returns when an agent was told that the server is draining or removed. ok is false if it has
// not been told by now.
func (s *Server) drainAnnounced(agent int, now time.Time) (at time.Time, ok bool) {
	for _, status := range []string{"draining", "removed"} {
		if index, announced := s.announcedAt[status]; announced {
			if at, ok := s.world.bulletin.toldAt(index, agent); ok && !now.Before(at) {
				return at, true
			}
		}
	}
	return time.Time{}, false
}

// startAnnounced reports whether an agent has been told of the server's latest start.
func (s *Server) startAnnounced(agent int, now time.Time) bool {
	index, announced := s.announcedAt["up"]
	if !announced {
		return false
	}
	at, ok := s.world.bulletin.toldAt(index, agent)
	return ok && !now.Before(at)
}

func (s *Server) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		agent := s.world.net.AgentAt(conn.RemoteAddr())
		if agent < 0 || agent >= s.world.Agents {
			conn.Close()
			continue
		}
		p := &agentConn{Conn: s.links[agent].Wrap(conn), agent: agent}
		s.mu.Lock()
		s.counts.Handshakes++
		down := s.dead || s.tipped
		if !down {
			s.conns[p] = true
		}
		p.mutedUntil = time.Now().Add(s.greetDelay)
		s.mu.Unlock()
		if down {
			p.Close()
			continue
		}
		s.greet(p)
		go s.serve(p)
	}
}

// greet sends what comes first on a new connection: the group's state, and the ends of calls.
func (s *Server) greet(p *agentConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent || !s.conns[p] {
		return
	}
	s.send(p, s.groupState())
	s.repeatEnds(p)
}

// groupState returns the message with the group's state: its free lines and all its lines, as of now.
func (s *Server) groupState() isup.Message {
	return isup.Message{Type: isup.GroupState}.WithText(isup.Report, s.lineReport())
}

// lineReport returns the free lines and all lines, in the form of a report.
func (s *Server) lineReport() string {
	standing := 0
	for _, u := range s.calls {
		if u.stands {
			standing++
		}
	}
	return fmt.Sprintf("x0:%d;x1:%d", max(s.lineCount-standing, 0), s.lineCount)
}

// sendStates sends the group's state on all open connections, every StateInterval, until the server is
// removed.
func (s *Server) sendStates() {
	for range time.Tick(s.world.StateInterval) {
		s.mu.Lock()
		if s.dead && s.status == "removed" {
			s.mu.Unlock()
			return
		}
		m := s.groupState()
		var to []*agentConn
		if !s.silent && !s.dead && !s.tipped && s.hung() == 0 {
			for p := range s.conns {
				to = append(to, p)
			}
		}
		s.mu.Unlock()
		for _, p := range to {
			p.send(m)
		}
	}
}

func (s *Server) serve(p *agentConn) {
	in := bufio.NewReaderSize(p, 512)
	for {
		if s.world.Keepalive > 0 {
			p.SetReadDeadline(time.Now().Add(s.world.Keepalive))
		}
		m, err := isup.Read(in)
		if errors.Is(err, os.ErrDeadlineExceeded) && (s.waiting(p) || s.links[p.agent].HeldWithin(0)) {
			continue // it is not idle, or its close could not be seen
		}
		if err != nil {
			break
		}
		s.handle(p, m)
	}
	defer p.Close() // once nothing is written on it any more
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, p)
	for c, u := range s.calls { // set-ups without an answer end with their connection
		if u.peer == p && !u.stands {
			s.removeCall(c, u)
			s.world.Check.attemptGivenUp(s, c.agent, c.id)
		}
	}
}

// waiting reports whether a set-up on a connection has no answer yet.
func (s *Server) waiting(p *agentConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.calls {
		if u.peer == p && !u.stands {
			return true
		}
	}
	return false
}

// removeCall removes a call that was released or given up.
func (s *Server) removeCall(c callKey, u *serverCall) {
	u.ended = true
	delete(s.calls, c)
	if !u.stands {
		s.counts.Wasted += setupCost
	}
}

// handle handles a message from an agent.
func (s *Server) handle(p *agentConn, m isup.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent || s.dead || s.tipped || p.forgotten {
		return
	}
	now := time.Now()
	c := callKey{p.agent, m.Call}
	switch m.Type {
	case isup.SetUp:
		s.world.Observer.SetUpReceived(m.Call)
		s.world.Check.checkSetUp(s, p.agent, m, now)
		s.setUp(p, c, m, now)
	case isup.Release:
		if u := s.calls[c]; u != nil {
			if u.stands {
				s.world.Observer.CallReleased(m.Call, s.ID)
			} else {
				s.world.Check.attemptGivenUp(s, p.agent, m.Call)
			}
			s.removeCall(c, u)
		}
		s.send(p, isup.Message{Type: isup.Released, Call: m.Call})
	case isup.Test:
		s.counts.Probes++
		done := s.queueWork(now, probeCost)
		r := isup.Message{Type: isup.TestResult, Call: m.Call}.WithCause(isup.Passed).WithText(isup.Report, s.reportText(now, "silent"))
		time.AfterFunc(max(done.Sub(now), s.hung()), func() { p.send(r) })
	}
}

// speed returns the share of its warm rate at which the server works now.
func (s *Server) speed(now time.Time) float64 {
	share := 1.0
	if age := now.Sub(s.startedAt); !s.startedAt.IsZero() && age < s.world.Cold {
		share = s.world.ColdFrom + (1-s.world.ColdFrom)*float64(age)/float64(s.world.Cold)
	}
	return share / s.slowdown
}

// queueWork queues work, given as a part of one call's work, and returns when it will be done.
func (s *Server) queueWork(now time.Time, cost float64) time.Time {
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	took := cost / (s.Rate * s.speed(now))
	s.workDone += took
	s.busyUntil = s.busyUntil.Add(time.Duration(took * float64(time.Second)))
	return s.busyUntil
}

// setUp handles a set-up: it refuses it, or queues its work and then answers.
func (s *Server) setUp(p *agentConn, c callKey, m isup.Message, now time.Time) {
	s.countCapacity(now)
	s.counts.SetUps++
	s.counts.LastSetUp = now
	if s.tipsOver(p.agent, now) {
		return
	}
	if left, err := m.Millis(isup.TimeLeft); err == nil && left < s.world.DropBelow {
		return // without a word: the agent gives it up
	}
	wait := max(s.busyUntil.Sub(now), 0)
	if wait > s.world.MaxQueueWait {
		s.counts.TurnedAway++
		s.counts.Wasted += refuseCost
		done := s.queueWork(now, refuseCost)
		m := isup.Message{Type: isup.Release, Call: c.id}.WithCause(isup.NoCircuit).WithText(isup.Note, "overload")
		if s.world.GivesWait {
			m = m.WithMillis(isup.Wait, wait)
		}
		m = s.withReport(m, now)
		s.world.Check.attemptEnded(s, c.agent, c.id)
		// A refusal is sent after at most 50 ms, ahead of the queued work.
		time.AfterFunc(max(min(done.Sub(now), 50*time.Millisecond), s.hung()), func() { p.send(m) })
		return
	}
	if interval := s.world.Repeat; interval > 0 { // a waiting set-up is sent again, at intervals that double
		for gap := interval; gap < wait; gap *= 2 {
			s.queueWork(now, repeatCost)
		}
	}
	u := &serverCall{peer: p}
	s.calls[c] = u
	done := s.queueWork(now, setupCost)
	time.AfterFunc(done.Sub(now), func() { s.answer(c, u) })
}

// answer answers a set-up, unless it was given up in the meantime.
func (s *Server) answer(c callKey, u *serverCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.ended || s.dead || s.silent || s.tipped {
		return
	}
	if wait := s.hung(); wait > 0 {
		time.AfterFunc(wait, func() { s.answer(c, u) })
		return
	}
	description := fmt.Sprintf("room at %s for %v", s.ID, c.id)
	answer := isup.Message{Type: isup.Answer, Call: c.id}.WithText(isup.Description, description)
	spoilt := s.drawSpoilt()
	if spoilt.loses() {
		s.loseAnswer(spoilt, u.peer, answer)
		return // the attempt is out until the agent or the connection ends it
	}
	u.stands, u.description = true, description
	s.counts.Stood++
	s.world.Check.attemptStood(s, c.agent, c.id, u.description)
	s.world.Observer.CallStood(c.id, c.agent, s.ID, u.description)
	s.sendAnswer(spoilt, u.peer, answer)
	hold := time.Duration(s.rng.ExpFloat64() * float64(s.world.hold()))
	time.AfterFunc(max(hold, 50*time.Millisecond), func() { s.endCall(c, u) })
}

// endCall ends a call that has lasted for its time.
func (s *Server) endCall(c callKey, u *serverCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.ended || s.dead || s.silent || s.tipped {
		return
	}
	if wait := s.hung(); wait > 0 {
		time.AfterFunc(wait, func() { s.endCall(c, u) })
		return
	}
	now := time.Now()
	s.queueWork(now, releaseCost)
	u.ended = true
	delete(s.calls, c)
	m := s.withReport(isup.Message{Type: isup.Release, Call: c.id}.WithCause(isup.Normal), now)
	s.world.Observer.CallEnded(c.id, s.ID)
	s.sendEnd(u.peer, m)
}

// withReport adds a load report to an answer if the deployment's mode is piggyback.
func (s *Server) withReport(m isup.Message, now time.Time) isup.Message {
	if s.world.ReportMode != "piggyback" {
		return m
	}
	return m.WithText(isup.Report, s.reportText(now, ""))
}

// reportText returns a load report: the lines as of now, and the processor's figures as of the last refresh.
// If the deployment's report mode is linesOnlyMode, it has the lines alone.
func (s *Server) reportText(now time.Time, linesOnlyMode string) string {
	if age := now.Sub(s.reportedAt); age >= s.world.ReportInterval {
		s.report = ""
		for _, f := range s.world.ReportFields {
			var x float64
			wait := max(s.busyUntil.Sub(now), 0).Seconds()
			switch f {
			case "util":
				x = min(s.workDone/max(age.Seconds(), 1e-3), 1)
				if wait > 0 {
					x = max(x, min(wait/age.Seconds(), 1))
				}
			case "queue":
				x = math.Floor(wait * s.Rate * s.speed(now) / setupCost)
			case "latency_ms":
				x = wait * 1000
			}
			s.report += fmt.Sprintf(";%s:%.4g", f, x)
		}
		s.reportedAt, s.workDone = now, 0
	}
	if s.world.ReportMode == linesOnlyMode {
		return s.lineReport()
	}
	return s.lineReport() + s.report
}

// tipsOver reports whether this set-up overloads a cold server, which then fails. As in the rules, the limit
// on the work that arrives within TipAfter is FallMultiple times what the server can do now in that time,
// plus a margin for chance. The rule is broken if over two thirds of the work came from agents that had been told of the
// start.
func (s *Server) tipsOver(agent int, now time.Time) bool {
	if s.startedAt.IsZero() || now.Sub(s.startedAt) >= s.world.Cold {
		return false
	}
	s.recentWork = slices.DeleteFunc(s.recentWork, func(a arrival) bool { return now.Sub(a.at) >= s.world.TipAfter })
	s.recentWork = append(s.recentWork, arrival{now, 1, s.startAnnounced(agent, now)})
	sum, told := 0.0, 0.0
	for _, a := range s.recentWork {
		sum += a.work
		if a.told {
			told += a.work
		}
	}
	n := s.world.FallMultiple * s.Rate * s.speed(now) * s.world.TipAfter.Seconds()
	if sum <= n+2*math.Sqrt(n)+2 { // the margin that the operators allow for chance
		return false
	}
	s.tipped = true
	if told > sum*2/3 {
		s.world.Check.recordBroken("pushed over", "%s fell: %.0f set-ups in %v, %.1f allowed, %v after its start", s.ID, sum, s.world.TipAfter, n, now.Sub(s.startedAt))
	}
	s.shutDown()
	return true
}

// countCapacity adds the capacity since it was last called.
func (s *Server) countCapacity(now time.Time) {
	if !s.counts.countedAt.IsZero() && !s.dead && !s.silent && !s.tipped {
		s.counts.Capacity += now.Sub(s.counts.countedAt).Seconds() * s.Rate * s.speed(now)
	}
	s.counts.countedAt = now
}

// Counts returns the server's figures up to now.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCapacity(time.Now())
	return s.counts
}

// Healthy reports whether the server works, is listed as up and was last started more than d ago.
func (s *Server) Healthy(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status == "up" && !s.dead && !s.silent && !s.tipped && (s.listedSince.IsZero() || time.Since(s.listedSince) > d)
}

// Connections returns the number of open connections from agents.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// SlowDown sets the factor by which the server's work takes longer; 1 is normal.
func (s *Server) SlowDown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCapacity(time.Now())
	s.slowdown = factor
}

// Stall stops the processor for a while. Work that arrives waits in the queue.
func (s *Server) Stall(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(d)
}

// GoSilent stops the server from sending anything. Its connections stay open, and its calls are lost.
func (s *Server) GoSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCapacity(time.Now())
	s.silent = true
	for c, u := range s.calls { // releases of them will not be received
		u.ended = true
		if u.stands {
			s.world.Observer.CallEnded(c.id, s.ID)
		} else {
			s.world.Check.attemptEnded(s, c.agent, c.id)
		}
	}
	s.calls = map[callKey]*serverCall{}
}

// Crash ends the server's process: it closes the listener and all connections, and its calls are cut.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCapacity(time.Now())
	s.shutDown()
}

// shutDown is Crash with s.mu held.
func (s *Server) shutDown() {
	s.dead = true
	s.ln.Close()
	for c, u := range s.calls {
		if u.stands {
			s.world.Observer.CallEnded(c.id, s.ID)
		} else {
			s.world.Check.attemptGivenUp(s, c.agent, c.id)
		}
		u.ended = true
	}
	s.calls, s.recentEnds = map[callKey]*serverCall{}, map[int][]serverEnd{}
	s.hole.close()
	for p := range s.conns {
		delete(s.conns, p)
		go p.reset()
	}
}

// reset ends the connection as the death of its process does.
func (p *agentConn) reset() {
	if resettable, ok := p.Conn.(interface{ Reset() }); ok {
		resettable.Reset()
		return
	}
	p.Close()
}

// restart starts the server again, cold, at its old address.
func (s *Server) restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCapacity(time.Now())
	if !s.dead {
		s.shutDown()
	}
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	now := time.Now()
	s.ln, s.dead, s.silent, s.tipped, s.startedAt, s.listedSince, s.busyUntil, s.recentWork = ln, false, false, false, now, now, now, nil
	s.hole, s.hungUntil = nil, time.Time{}
	delete(s.announcedAt, "up")
	go s.accept(ln)
	return nil
}

func (s *Server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = "removed"
	s.shutDown()
}

// Link returns the link between an agent and this server.
func (s *Server) Link(agent int) *faultnet.WrappedLink { return s.links[agent] }

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.addr }

// Up reports whether the server is listed as up.
func (s *Server) Up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status == "up"
}

// ExpectedAnswer returns how long a set-up that arrived now would wait for its answer. ok is false if it
// would get no answer or be refused because of the queue.
func (s *Server) ExpectedAnswer() (d time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead || s.silent || s.tipped {
		return 0, false
	}
	now := time.Now()
	wait := max(s.busyUntil.Sub(now), 0)
	d = wait + time.Duration(setupCost/(s.Rate*s.speed(now))*float64(time.Second))
	return d, wait <= s.world.MaxQueueWait
}
