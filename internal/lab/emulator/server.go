package emulator

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"woodrouter/internal/faultnet"
	"woodrouter/isup"
)

// What messages cost, in parts of the work of one call: a set-up and the release of its call
// make it up; what is refused, asked or sent again costs its part on top.
const (
	setupCost   = 0.7
	releaseCost = 0.3
	refuseCost  = 0.2
	repeatCost  = 0.2
	probeCost   = 0.02
)

// Server is a setup server: a processor with one line, first come, first served, and the calls
// that stand. Its methods may be called by any goroutine.
type Server struct {
	ID, Zone  string
	Group     int
	Rate      float64 // calls a second that it can take when warm
	lineCount int     // its lines
	world     *World
	links     []*faultnet.WrappedLink // by agent

	mu          sync.Mutex
	ln          net.Listener
	addr        string
	status      string    // on the list
	listedSince time.Time // of the list: its late start; zero: long ago
	startedAt   time.Time // it has been warming since; zero: it is warm
	slowdown    float64   // its work takes so many times longer
	silent      bool      // it takes what comes and says nothing
	dead        bool
	tipped      bool // pushed over while cold: it stays down
	busyUntil   time.Time
	conns       map[*agentConn]bool
	calls       map[callKey]*serverCall
	recentWork  []arrival // work that came within the cold window
	report      string
	reportedAt  time.Time // of the report
	workDone    float64   // work done since, in seconds
	rng         *rand.Rand
	announcedAt map[string][]time.Time // status -> when each agent was told of it

	counts Counts
}

// Counts are what a server has seen since it began.
type Counts struct {
	SetUps, Stood, TurnedAway, Probes, Handshakes int
	Wasted                                        float64 // work for set-ups that came to nothing, in calls
	Capacity                                      float64 // calls that it could have taken meanwhile
	LastSetUp                                     time.Time
	countedAt                                     time.Time
}

type callKey struct {
	agent int
	id    isup.CallID
}

// serverCall is a set-up that is out, or the call that stands on it.
type serverCall struct {
	peer        *agentConn
	stands      bool
	ended       bool
	description string
}

type arrival struct {
	at   time.Time
	work float64
}

// agentConn is a connection of an agent.
type agentConn struct {
	net.Conn
	agent int
}

func (p *agentConn) send(m isup.Message) {
	if b, err := m.Append(nil); err == nil {
		p.Write(b) // one that is gone shows at its reader
	}
}

// entry is the server's line on the list.
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

// recordAnnounced notes when each agent is told of the present state.
func (s *Server) recordAnnounced(now time.Time, delays []time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := make([]time.Time, len(delays))
	for i, d := range delays {
		at[i] = now.Add(d)
	}
	if s.announcedAt == nil {
		s.announcedAt = map[string][]time.Time{}
	}
	if s.status == "up" {
		s.announcedAt = map[string][]time.Time{}
	}
	if s.announcedAt[s.status] == nil {
		s.announcedAt[s.status] = at
	}
}

// drainAnnounced is when an agent was told that the server drains or is gone; ok is false before.
func (s *Server) drainAnnounced(agent int, now time.Time) (at time.Time, ok bool) {
	for _, status := range []string{"draining", "removed"} {
		if t := s.announcedAt[status]; t != nil && !now.Before(t[agent]) {
			return t[agent], true
		}
	}
	return time.Time{}, false
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
		p := &agentConn{s.links[agent].Wrap(conn), agent}
		s.mu.Lock()
		s.counts.Handshakes++
		down := s.dead || s.tipped
		if !down {
			s.conns[p] = true
		}
		m, mute := s.groupState(), s.silent
		s.mu.Unlock()
		if down {
			p.Close()
			continue
		}
		if !mute {
			p.send(m)
		}
		go s.serve(p)
	}
}

// groupState is a group's state: free lines and all, as they are.
func (s *Server) groupState() isup.Message {
	return isup.Message{Type: isup.GroupState}.WithText(isup.Report, s.lineReport())
}

func (s *Server) lineReport() string {
	standing := 0
	for _, u := range s.calls {
		if u.stands {
			standing++
		}
	}
	return fmt.Sprintf("x0:%d;x1:%d", max(s.lineCount-standing, 0), s.lineCount)
}

// sendStates sends the group's state on every open connection, now and then.
func (s *Server) sendStates() {
	for range time.Tick(s.world.StateInterval) {
		s.mu.Lock()
		if s.dead && s.status == "removed" {
			s.mu.Unlock()
			return
		}
		m := s.groupState()
		var to []*agentConn
		if !s.silent && !s.dead && !s.tipped {
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
		if err != nil {
			break
		}
		s.handle(p, m)
	}
	p.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, p)
	for c, u := range s.calls { // the set-ups open on it are given up
		if u.peer == p && !u.stands {
			s.removeCall(c, u)
			s.world.Check.attemptGivenUp(s, c.agent, c.id)
		}
	}
}

func (s *Server) removeCall(c callKey, u *serverCall) {
	u.ended = true
	delete(s.calls, c)
	if !u.stands {
		s.counts.Wasted += setupCost
	}
}

func (s *Server) handle(p *agentConn, m isup.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent || s.dead || s.tipped {
		return
	}
	now := time.Now()
	c := callKey{p.agent, m.Call}
	switch m.Type {
	case isup.SetUp:
		s.world.Check.checkSetUp(s, p.agent, m, now)
		s.setUp(p, c, now)
	case isup.Release:
		if u := s.calls[c]; u != nil {
			if !u.stands {
				s.world.Check.attemptGivenUp(s, p.agent, m.Call)
			}
			s.removeCall(c, u)
		}
		p.send(isup.Message{Type: isup.Released, Call: m.Call})
	case isup.Test:
		s.counts.Probes++
		done := s.queueWork(now, probeCost)
		r := isup.Message{Type: isup.TestResult, Call: m.Call}.WithCause(isup.Passed).WithText(isup.Report, s.reportText(now, "silent"))
		time.AfterFunc(done.Sub(now), func() { p.send(r) })
	}
}

// speed is the share of its rate that the server has now.
func (s *Server) speed(now time.Time) float64 {
	share := 1.0
	if age := now.Sub(s.startedAt); !s.startedAt.IsZero() && age < s.world.Cold {
		share = s.world.ColdFrom + (1-s.world.ColdFrom)*float64(age)/float64(s.world.Cold)
	}
	return share / s.slowdown
}

// queueWork queues so much of a call's work and tells when it will be done.
func (s *Server) queueWork(now time.Time, cost float64) time.Time {
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	took := cost / (s.Rate * s.speed(now))
	s.workDone += took
	s.busyUntil = s.busyUntil.Add(time.Duration(took * float64(time.Second)))
	return s.busyUntil
}

func (s *Server) setUp(p *agentConn, c callKey, now time.Time) {
	s.countCapacity(now)
	s.counts.SetUps++
	s.counts.LastSetUp = now
	if s.tipsOver(now) {
		return
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
		time.AfterFunc(min(done.Sub(now), 50*time.Millisecond), func() { p.send(m) }) // it goes ahead of what waits
		return
	}
	if interval := s.world.Repeat; interval > 0 { // a set-up that waits is sent again, at doubling gaps
		for gap := interval; gap < wait; gap *= 2 {
			s.queueWork(now, repeatCost)
		}
	}
	u := &serverCall{peer: p}
	s.calls[c] = u
	done := s.queueWork(now, setupCost)
	time.AfterFunc(done.Sub(now), func() { s.answer(c, u) })
}

// answer answers a set-up, unless it was given up meanwhile.
func (s *Server) answer(c callKey, u *serverCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.ended || s.dead || s.silent || s.tipped {
		return
	}
	u.stands = true
	u.description = fmt.Sprintf("room at %s for %v", s.ID, c.id)
	s.counts.Stood++
	s.world.Check.attemptStood(s, c.agent, c.id, u.description)
	u.peer.send(isup.Message{Type: isup.Answer, Call: c.id}.WithText(isup.Description, u.description))
	hold := time.Duration(s.rng.ExpFloat64() * float64(s.world.hold()))
	time.AfterFunc(max(hold, 50*time.Millisecond), func() { s.endCall(c, u) })
}

// endCall is the end of a call that came to its end.
func (s *Server) endCall(c callKey, u *serverCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.ended || s.dead || s.silent || s.tipped {
		return
	}
	now := time.Now()
	s.queueWork(now, releaseCost)
	u.ended = true
	delete(s.calls, c)
	m := s.withReport(isup.Message{Type: isup.Release, Call: c.id}.WithCause(isup.Normal), now)
	p := u.peer
	if !s.conns[p] { // on any open one
		for o := range s.conns {
			if o.agent == c.agent {
				p = o
				break
			}
		}
	}
	p.send(m)
}

// withReport adds the report, where reports come with answers.
func (s *Server) withReport(m isup.Message, now time.Time) isup.Message {
	if s.world.ReportMode != "piggyback" {
		return m
	}
	return m.WithText(isup.Report, s.reportText(now, ""))
}

// reportText is the report: the lines as they are, the processor's figures as they were at the
// last refresh. A deployment of kind none tells the lines alone.
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

// tipsOver tells whether this arrival pushes a cold server over. The budget is that of the rules:
// the work that came in the window, against the multiple of what it can do now, and some chance.
func (s *Server) tipsOver(now time.Time) bool {
	if s.startedAt.IsZero() || now.Sub(s.startedAt) >= s.world.Cold {
		return false
	}
	keep := s.recentWork[:0]
	sum := 1.0
	for _, a := range s.recentWork {
		if now.Sub(a.at) < s.world.TipAfter {
			keep, sum = append(keep, a), sum+a.work
		}
	}
	s.recentWork = append(keep, arrival{now, 1})
	n := s.world.FallMultiple * s.Rate * s.speed(now) * s.world.TipAfter.Seconds()
	if sum <= n+2*math.Sqrt(n)+2 { // what the operators put down to chance
		return false
	}
	s.tipped = true
	s.world.Check.recordBroken("pushed over", "%s fell: %.0f set-ups in %v, %.1f allowed, %v after its start", s.ID, sum, s.world.TipAfter, n, now.Sub(s.startedAt))
	s.shutDown()
	return true
}

// countCapacity adds the capacity since the last look.
func (s *Server) countCapacity(now time.Time) {
	if !s.counts.countedAt.IsZero() && !s.dead && !s.silent && !s.tipped {
		s.counts.Capacity += now.Sub(s.counts.countedAt).Seconds() * s.Rate * s.speed(now)
	}
	s.counts.countedAt = now
}

// Counts are the figures up to now.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCapacity(time.Now())
	return s.counts
}

// Healthy tells whether it is up, on the list as such, and serves; listed since at least d ago.
func (s *Server) Healthy(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status == "up" && !s.dead && !s.silent && !s.tipped && (s.listedSince.IsZero() || time.Since(s.listedSince) > d)
}

// Connections are those open to it.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// SlowDown has its work take so many times longer; 1 is as usual.
func (s *Server) SlowDown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCapacity(time.Now())
	s.slowdown = factor
}

// Stall keeps its processor from working for a while; what comes waits.
func (s *Server) Stall(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(d)
}

// GoSilent has it say nothing more: its connections stay open and silent, its calls are lost.
func (s *Server) GoSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCapacity(time.Now())
	s.silent = true
	for c, u := range s.calls { // what the agents say of them from now on, nobody hears
		u.ended = true
		if !u.stands {
			s.world.Check.attemptEnded(s, c.agent, c.id)
		}
	}
	s.calls = map[callKey]*serverCall{}
}

// Crash ends its process: connections are reset, its calls are cut, nobody listens.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCapacity(time.Now())
	s.shutDown()
}

func (s *Server) shutDown() {
	s.dead = true
	s.ln.Close()
	for c, u := range s.calls {
		if !u.stands {
			s.world.Check.attemptGivenUp(s, c.agent, c.id)
		}
		u.ended = true
	}
	s.calls = map[callKey]*serverCall{}
	for p := range s.conns {
		delete(s.conns, p)
		go p.reset()
	}
}

func (p *agentConn) reset() {
	p.Conn.SetDeadline(time.Now())
	p.Close()
}

// restart starts it again, cold, at its address.
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
	go s.accept(ln)
	return nil
}

func (s *Server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = "removed"
	s.shutDown()
}

// Link is the link between an agent and this server.
func (s *Server) Link(agent int) *faultnet.WrappedLink { return s.links[agent] }

// Addr is where it listens.
func (s *Server) Addr() string { return s.addr }

// Up tells whether the list has it as up.
func (s *Server) Up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status == "up"
}

// ExpectedAnswer is how long a set-up that came now would take to its answer; ok is false where none
// would come, or it would be turned away or push a cold server over.
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
