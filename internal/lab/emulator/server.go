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
	ID, Zone string
	Group    int
	Rate     float64 // calls a second that it can take when warm
	total    int     // its lines
	world    *World
	links    []*faultnet.Gate // by agent

	mu     sync.Mutex
	ln     net.Listener
	addr   string
	status string    // on the list
	since  time.Time // of the list: its late start; zero: long ago
	born   time.Time // it has been warming since; zero: it is warm
	slow   float64   // its work takes so many times longer
	mute   bool      // it takes what comes and says nothing
	dead   bool
	fell   bool // pushed over while cold: it stays down
	busy   time.Time
	conns  map[*peer]bool
	calls  map[call]*setup
	recent []arrival // work that came within the cold window
	report string
	made   time.Time // of the report
	used   float64   // work done since, in seconds
	rng    *rand.Rand
	news   map[string][]time.Time // status -> when each agent was told of it

	count Counts
}

// Counts are what a server has seen since it began.
type Counts struct {
	SetUps, Stood, Full, Probes, Handshakes int
	Wasted                                  float64 // work for set-ups that came to nothing, in calls
	Capacity                                float64 // calls that it could have taken meanwhile
	Last                                    time.Time
	counted                                 time.Time
}

type call struct {
	agent int
	id    isup.CallID
}

// setup is a set-up that is out, or the call that stands on it.
type setup struct {
	peer   *peer
	stands bool
	over   bool
	rooms  string
}

type arrival struct {
	at   time.Time
	work float64
}

// peer is a connection of an agent.
type peer struct {
	net.Conn
	agent int
}

func (p *peer) say(m isup.Message) {
	if b, err := m.Append(nil); err == nil {
		p.Write(b) // one that is gone shows at its reader
	}
}

// entry is the server's line on the list.
func (s *Server) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := int64(0)
	if !s.since.IsZero() {
		since = s.since.UnixMilli()
	}
	return map[string]any{"name": s.ID, "address": s.addr, "zone": s.Zone, "type": "std", "group": s.Group,
		"status": s.status, "weight": 1, "since_ms": since}
}

func (s *Server) list(status string) {
	s.mu.Lock()
	s.status = status
	s.mu.Unlock()
}

// told notes when each agent is told of the present state.
func (s *Server) told(now time.Time, seen []time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := make([]time.Time, len(seen))
	for i, d := range seen {
		at[i] = now.Add(d)
	}
	if s.news == nil {
		s.news = map[string][]time.Time{}
	}
	if s.status == "up" {
		s.news = map[string][]time.Time{}
	}
	if s.news[s.status] == nil {
		s.news[s.status] = at
	}
}

// left is when an agent was told that the server drains or is gone; ok is false before.
func (s *Server) left(agent int, now time.Time) (at time.Time, ok bool) {
	for _, status := range []string{"draining", "removed"} {
		if t := s.news[status]; t != nil && !now.Before(t[agent]) {
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
		agent := s.world.net.Agent(conn.RemoteAddr())
		if agent < 0 || agent >= s.world.Agents {
			conn.Close()
			continue
		}
		p := &peer{s.links[agent].Wrap(conn), agent}
		s.mu.Lock()
		s.count.Handshakes++
		down := s.dead || s.fell
		if !down {
			s.conns[p] = true
		}
		m, mute := s.state(), s.mute
		s.mu.Unlock()
		if down {
			p.Close()
			continue
		}
		if !mute {
			p.say(m)
		}
		go s.serve(p)
	}
}

// state is a group's state: free lines and all, as they are.
func (s *Server) state() isup.Message {
	return isup.Message{Type: isup.GroupState}.WithText(isup.Report, s.lines())
}

func (s *Server) lines() string {
	stand := 0
	for _, u := range s.calls {
		if u.stands {
			stand++
		}
	}
	return fmt.Sprintf("x0:%d;x1:%d", max(s.total-stand, 0), s.total)
}

// tell sends the group's state on every open connection, now and then.
func (s *Server) tell() {
	for range time.Tick(s.world.StateEvery) {
		s.mu.Lock()
		if s.dead && s.status == "removed" {
			s.mu.Unlock()
			return
		}
		m := s.state()
		var to []*peer
		if !s.mute && !s.dead && !s.fell {
			for p := range s.conns {
				to = append(to, p)
			}
		}
		s.mu.Unlock()
		for _, p := range to {
			p.say(m)
		}
	}
}

func (s *Server) serve(p *peer) {
	in := bufio.NewReaderSize(p, 512)
	for {
		if s.world.Keepalive > 0 {
			p.SetReadDeadline(time.Now().Add(s.world.Keepalive))
		}
		m, err := isup.Read(in)
		if err != nil {
			break
		}
		s.take(p, m)
	}
	p.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, p)
	for c, u := range s.calls { // the set-ups open on it are given up
		if u.peer == p && !u.stands {
			s.drop(c, u)
			s.world.Check.gaveUp(s, c.agent, c.id)
		}
	}
}

func (s *Server) drop(c call, u *setup) {
	u.over = true
	delete(s.calls, c)
	if !u.stands {
		s.count.Wasted += setupCost
	}
}

func (s *Server) take(p *peer, m isup.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mute || s.dead || s.fell {
		return
	}
	now := time.Now()
	c := call{p.agent, m.Call}
	switch m.Type {
	case isup.SetUp:
		s.world.Check.sent(s, p.agent, m, now)
		s.setUp(p, c, now)
	case isup.Release:
		if u := s.calls[c]; u != nil {
			if !u.stands {
				s.world.Check.gaveUp(s, p.agent, m.Call)
			}
			s.drop(c, u)
		}
		p.say(isup.Message{Type: isup.Released, Call: m.Call})
	case isup.Test:
		s.count.Probes++
		done := s.work(now, probeCost)
		r := isup.Message{Type: isup.TestResult, Call: m.Call}.WithCause(isup.Passed).WithText(isup.Report, s.reported(now, "silent"))
		time.AfterFunc(done.Sub(now), func() { p.say(r) })
	}
}

// speed is the share of its rate that the server has now.
func (s *Server) speed(now time.Time) float64 {
	part := 1.0
	if age := now.Sub(s.born); !s.born.IsZero() && age < s.world.Cold {
		part = s.world.ColdFrom + (1-s.world.ColdFrom)*float64(age)/float64(s.world.Cold)
	}
	return part / s.slow
}

// work queues so much of a call's work and tells when it will be done.
func (s *Server) work(now time.Time, cost float64) time.Time {
	if s.busy.Before(now) {
		s.busy = now
	}
	took := cost / (s.Rate * s.speed(now))
	s.used += took
	s.busy = s.busy.Add(time.Duration(took * float64(time.Second)))
	return s.busy
}

func (s *Server) setUp(p *peer, c call, now time.Time) {
	s.tally(now)
	s.count.SetUps++
	s.count.Last = now
	if s.pushed(now) {
		return
	}
	wait := max(s.busy.Sub(now), 0)
	if wait > s.world.QueueMost {
		s.count.Full++
		s.count.Wasted += refuseCost
		done := s.work(now, refuseCost)
		m := isup.Message{Type: isup.Release, Call: c.id}.WithCause(isup.NoCircuit).WithText(isup.Note, "overload")
		if s.world.TellWait {
			m = m.WithMillis(isup.Wait, wait)
		}
		m = s.carry(m, now)
		s.world.Check.ended(s, c.agent, c.id)
		time.AfterFunc(min(done.Sub(now), 50*time.Millisecond), func() { p.say(m) }) // it goes ahead of what waits
		return
	}
	if again := s.world.Repeat; again > 0 { // a set-up that waits is sent again, at doubling gaps
		for gap := again; gap < wait; gap *= 2 {
			s.work(now, repeatCost)
		}
	}
	u := &setup{peer: p}
	s.calls[c] = u
	done := s.work(now, setupCost)
	time.AfterFunc(done.Sub(now), func() { s.stand(c, u) })
}

// stand answers a set-up, unless it was given up meanwhile.
func (s *Server) stand(c call, u *setup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.over || s.dead || s.mute || s.fell {
		return
	}
	u.stands = true
	u.rooms = fmt.Sprintf("room at %s for %v", s.ID, c.id)
	s.count.Stood++
	s.world.Check.stood(s, c.agent, c.id, u.rooms)
	u.peer.say(isup.Message{Type: isup.Answer, Call: c.id}.WithText(isup.Description, u.rooms))
	hold := time.Duration(s.rng.ExpFloat64() * float64(s.world.hold()))
	time.AfterFunc(max(hold, 50*time.Millisecond), func() { s.over(c, u) })
}

// over is the end of a call that came to its end.
func (s *Server) over(c call, u *setup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.over || s.dead || s.mute || s.fell {
		return
	}
	now := time.Now()
	s.work(now, releaseCost)
	u.over = true
	delete(s.calls, c)
	m := s.carry(isup.Message{Type: isup.Release, Call: c.id}.WithCause(isup.Normal), now)
	p := u.peer
	if !s.conns[p] { // on any open one
		for o := range s.conns {
			if o.agent == c.agent {
				p = o
				break
			}
		}
	}
	p.say(m)
}

// carry adds the report, where reports come with answers.
func (s *Server) carry(m isup.Message, now time.Time) isup.Message {
	if s.world.Reports != "piggyback" {
		return m
	}
	return m.WithText(isup.Report, s.reported(now, ""))
}

// reported is the report: the lines as they are, the processor's figures as they were at the
// last refresh. A deployment of kind none tells the lines alone.
func (s *Server) reported(now time.Time, none string) string {
	if age := now.Sub(s.made); age >= s.world.ReportEvery {
		s.report = ""
		for _, f := range s.world.Fields {
			var x float64
			wait := max(s.busy.Sub(now), 0).Seconds()
			switch f {
			case "util":
				x = min(s.used/max(age.Seconds(), 1e-3), 1)
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
		s.made, s.used = now, 0
	}
	if s.world.Reports == none {
		return s.lines()
	}
	return s.lines() + s.report
}

// pushed tells whether this arrival pushes a cold server over. The budget is that of the rules:
// the work that came in the window, against the multiple of what it can do now, and some chance.
func (s *Server) pushed(now time.Time) bool {
	if s.born.IsZero() || now.Sub(s.born) >= s.world.Cold {
		return false
	}
	keep := s.recent[:0]
	sum := 1.0
	for _, a := range s.recent {
		if now.Sub(a.at) < s.world.TipAfter {
			keep, sum = append(keep, a), sum+a.work
		}
	}
	s.recent = append(keep, arrival{now, 1})
	n := s.world.FallMultiple * s.Rate * s.speed(now) * s.world.TipAfter.Seconds()
	if sum <= n+2*math.Sqrt(n)+2 { // what the operators put down to chance
		return false
	}
	s.fell = true
	s.world.Check.broke("pushed over", "%s fell: %.0f set-ups in %v, %.1f allowed, %v after its start", s.ID, sum, s.world.TipAfter, n, now.Sub(s.born))
	s.shut()
	return true
}

// tally adds the capacity since the last look.
func (s *Server) tally(now time.Time) {
	if !s.count.counted.IsZero() && !s.dead && !s.mute && !s.fell {
		s.count.Capacity += now.Sub(s.count.counted).Seconds() * s.Rate * s.speed(now)
	}
	s.count.counted = now
}

// Counts are the figures up to now.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally(time.Now())
	return s.count
}

// Healthy tells whether it is up, on the list as such, and serves; listed since at least d ago.
func (s *Server) Healthy(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status == "up" && !s.dead && !s.mute && !s.fell && (s.since.IsZero() || time.Since(s.since) > d)
}

// Connections are those open to it.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Slow has its work take so many times longer; 1 is as usual.
func (s *Server) Slow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally(time.Now())
	s.slow = factor
}

// Stall keeps its processor from working for a while; what comes waits.
func (s *Server) Stall(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.busy.Before(now) {
		s.busy = now
	}
	s.busy = s.busy.Add(d)
}

// Vanish has it say nothing more: its connections stay open and silent, its calls are lost.
func (s *Server) Vanish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally(time.Now())
	s.mute = true
	for c, u := range s.calls { // what the agents say of them from now on, nobody hears
		u.over = true
		if !u.stands {
			s.world.Check.ended(s, c.agent, c.id)
		}
	}
	s.calls = map[call]*setup{}
}

// Die ends its process: connections are reset, its calls are cut, nobody listens.
func (s *Server) Die() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally(time.Now())
	s.shut()
}

func (s *Server) shut() {
	s.dead = true
	s.ln.Close()
	for c, u := range s.calls {
		if !u.stands {
			s.world.Check.gaveUp(s, c.agent, c.id)
		}
		u.over = true
	}
	s.calls = map[call]*setup{}
	for p := range s.conns {
		delete(s.conns, p)
		go p.reset()
	}
}

func (p *peer) reset() {
	p.Conn.SetDeadline(time.Now())
	p.Close()
}

// revive starts it again, cold, at its address.
func (s *Server) revive() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally(time.Now())
	if !s.dead {
		s.shut()
	}
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	now := time.Now()
	s.ln, s.dead, s.mute, s.fell, s.born, s.since, s.busy, s.recent = ln, false, false, false, now, now, now, nil
	go s.accept(ln)
	return nil
}

func (s *Server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = "removed"
	s.shut()
}

// Link is the link between an agent and this server.
func (s *Server) Link(agent int) *faultnet.Gate { return s.links[agent] }

// Addr is where it listens.
func (s *Server) Addr() string { return s.addr }

// Up tells whether the list has it as up.
func (s *Server) Up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status == "up"
}

// Expects is how long a set-up that came now would take to its answer; ok is false where none
// would come, or it would be turned away or push a cold server over.
func (s *Server) Expects() (d time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead || s.mute || s.fell {
		return 0, false
	}
	now := time.Now()
	wait := max(s.busy.Sub(now), 0)
	d = wait + time.Duration(setupCost/(s.Rate*s.speed(now))*float64(time.Second))
	return d, wait <= s.world.QueueMost
}
