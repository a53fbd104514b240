package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"woodrouter/spread"
)

// randomEvents drives a controller with n servers through random legal events: calls with and without
// a first choice, every kind of end and report, restarts, drains, losses of many servers at once,
// views and stalls. It passes the actions of each event to done.
func randomEvents(t *testing.T, seed uint64, n, events int, done func(c *Controller, acts []Action)) {
	rng := rand.New(rand.NewPCG(seed, 5))
	set := testSettings()
	set.Senders, set.Spread = 1+rng.IntN(20), spread.Config{Name: "a1", Life: 1}
	set.Rank = rng.IntN(set.Senders)
	set.Tenants = []Tenant{{"t", float64(n) * 5}, {"u", 3}}
	if seed%3 == 0 {
		set.Reports, set.Limits.AllowProbes = WhenProbed, true
	}
	if seed%4 == 1 {
		set.Classes[1].Pools = []int{0, 2, 3, 5}
	}
	b := newSeededHarness(t, set, seed, upServers(n)...)
	b.c.Spread().SetAlive([]string{"a1", "a2", "a3"})
	type out struct {
		attempt int
		server  string
		stands  bool
	}
	calls, ids, next, view := map[string]*out{}, []string(nil), 0, uint64(0)
	take := func(acts []Action) {
		for _, a := range actionsOf[Send](acts) {
			if calls[a.ID] == nil {
				calls[a.ID] = &out{attempt: -1}
				ids = append(ids, a.ID)
			}
			calls[a.ID].attempt++
			calls[a.ID].server = a.Server
		}
		done(b.c, acts)
	}
	figures := func() Report {
		r := EmptyReport()
		switch rng.IntN(6) {
		case 0:
			r.Utilisation = rng.Float64() * 1.2
		case 1:
			r.QueueLength = rng.Float64() * 30
		case 2:
			r.AcceptRate = rng.Float64() * 40
		case 3:
			r.WaitSeconds = rng.Float64()
		case 4:
			r.RefuseShare = rng.Float64() / 2
		}
		if rng.IntN(2) == 0 {
			r.TotalLines, r.FreeLines = float64(200+rng.IntN(3)*100), float64(rng.IntN(200))
		}
		return r
	}
	for range events {
		b.now += time.Duration(rng.IntN(12)) * ms
		if rng.IntN(400) == 0 {
			b.now += 700 * ms
		}
		s := upServers(n)[rng.IntN(n)]
		switch k := rng.IntN(20); {
		case k < 6:
			next++
			take(b.handle(Arrival{ID: fmt.Sprint(next), Class: []string{"look", "hold"}[rng.IntN(2)],
				Redial: rng.IntN(9) == 0, Tenant: []string{"t", "u", ""}[rng.IntN(3)],
				TimeLeft: time.Duration(rng.IntN(4000)) * ms, Pool: rng.IntN(2*n) - n/2}))
		case k < 11 && len(ids) > 0:
			id := ids[rng.IntN(min(len(ids), 20))]
			cl := calls[id]
			if !cl.stands && rng.IntN(3) > 0 {
				cl.stands = true
				take(b.handle(Standing{ID: id, Attempt: cl.attempt, Server: cl.server,
					Delay: time.Duration(rng.IntN(40)) * ms}))
				continue
			}
			res := []Result{OK, Faulted, Full, TimedOut, Unreachable, Cut, Cancelled, NotSent, NoLines,
				Busy}[rng.IntN(10)]
			if cl.stands {
				res = OK
			}
			take(b.handle(Ended{ID: id, Attempt: cl.attempt, Server: cl.server, Result: res,
				Delay: time.Duration(rng.IntN(900)) * ms, Complete: res == OK, Report: figures()}))
			if b.c.calls[id] == nil {
				delete(calls, id)
				ids = slices.DeleteFunc(ids, func(o string) bool { return o == id })
			}
		case k < 13:
			take(b.handle(Tick{}))
		case k < 16:
			r := figures()
			r.TotalLines, r.FreeLines = 300, float64(rng.IntN(300))
			take(b.handle(ReportReceived{Server: s.ID, Report: r}))
		case k == 16:
			take(b.handle(ReportReceived{Server: s.ID, Solicited: true, Result: Result(rng.IntN(2)),
				Report: figures()}))
		case k == 17 && rng.IntN(4) == 0:
			s.State, s.ReadyAt = State(rng.IntN(3)), b.now-time.Duration(rng.IntN(3000))*ms
			take(b.handle(ServerList{Servers: []Server{s}}))
		case k == 18 && rng.IntN(30) == 0: // the loss of a zone
			for _, o := range b.c.servers[:rng.IntN(len(b.c.servers))] {
				b.c.now = b.now
				b.c.markSuspect(o, 0)
			}
		case k == 19 && rng.IntN(40) == 0:
			take(b.handle(ServerList{Whole: true, Servers: upServers(n)[:1+rng.IntN(n)]}))
			take(b.handle(ServerList{Whole: true, Servers: upServers(n)}))
		case k == 19 && rng.IntN(10) == 0:
			view++
			v := spread.View{From: spread.Stamp{Name: "a2", Life: 1, Seq: view},
				Echo: spread.Stamp{Name: "a1", Life: 1, Seq: view}}
			for i, o := range upServers(n) {
				v.Dues = append(v.Dues, spread.Due{Server: o.ID, Share: rng.Float64() * 20,
					Rate: float64(i%3) * 15 * rng.Float64(),
					Idle: time.Duration(rng.IntN(2000)) * ms, Grant: rng.IntN(2)})
			}
			b.c.Spread().BuildSummary(b.now, "a2")
			take(b.c.ApplyView(b.now, v))
		}
	}
}

// TestTotalsMatchRecount checks after random events that the cached sums over all servers equal
// recomputed ones, and so do the capacities estimated from them.
func TestTotalsMatchRecount(t *testing.T) {
	for seed := range uint64(8) {
		n := 3 + int(seed)*5
		randomEvents(t, seed, n, 3000, func(c *Controller, _ []Action) {
			if !c.totalsValid {
				return
			}
			var mu, lines, known, flow float64
			for _, s := range c.servers {
				flow += s.flow
				if s.capacity > 0 {
					mu, lines, known = mu+s.capacity, lines+s.totalLines, known+1
				}
			}
			if got := c.fleetTotals().Flow; got != flow {
				t.Fatalf("seed %d: flow %v cached, %v recomputed", seed, got, flow)
			}
			for _, s := range c.servers {
				want := mu / max(known, 1)
				switch {
				case s.capacity > 0:
					want = s.capacity
				case lines > 0 && s.totalLines > 0:
					want = mu * s.totalLines / lines
				}
				if got := c.estimateCapacity(s); got != want {
					t.Fatalf("seed %d, server %s: capacity %v from cached sums, %v recomputed", seed, s.ID, got, want)
				}
			}
		})
	}
}

// TestAnyTrustedOpenMatchesScan checks that anyTrustedOpen, which resumes its scan, finds the same as
// a scan of all servers.
func TestAnyTrustedOpenMatchesScan(t *testing.T) {
	for seed := range uint64(6) {
		b := newSeededHarness(t, testSettings(), seed, upServers(30)...)
		rng := rand.New(rand.NewPCG(seed, 9))
		for range 400 {
			b.now += 60 * ms // after the requested timer
			for _, s := range b.c.servers {
				if s.suspect = rng.IntN(8) > 0; rng.IntN(4) == 0 {
					s.closedUntil = b.now + 30*ms
				}
			}
			b.handle(Tick{})
			found := false
			for _, s := range b.c.servers {
				found = found || !s.suspect && b.c.open(s)
			}
			if got := b.c.anyTrustedOpen(); got != found {
				t.Fatalf("seed %d: any trusted server open: %v, by a scan of all: %v", seed, got, found)
			}
		}
	}
}

// TestServerVisitsPerDecision checks that the number of servers that one decision looks at grows no
// faster than the number of servers: with and without a first choice or measured capacities, at a tick
// while most servers are suspect, and for a view of all servers.
func TestServerVisitsPerDecision(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(c *Controller, now Time)
	}{
		{"first choice", func(c *Controller, now Time) {
			c.Handle(now, Arrival{ID: "1", Class: "look", TimeLeft: time.Second, Pool: len(c.servers) - 1})
		}},
		{"no first choice", func(c *Controller, now Time) {
			c.Handle(now, Arrival{ID: "1", Class: "look", TimeLeft: time.Second, Pool: -1})
		}},
		{"a tenant's call", func(c *Controller, now Time) {
			c.Handle(now, Arrival{ID: "1", Class: "look", Tenant: "t", TimeLeft: time.Second, Pool: -1})
		}},
		{"lines reported", func(c *Controller, now Time) {
			c.Handle(now+450*ms, linesReport(c.servers[0].ID, 70, 400))
		}},
		{"a whole list", func(c *Controller, now Time) {
			c.Handle(now, ServerList{Whole: true, Servers: upServers(len(c.servers))})
		}},
		{"a view", func(c *Controller, now Time) {
			v := spread.View{From: spread.Stamp{Name: "a2", Life: 1, Seq: 1},
				Echo: spread.Stamp{Name: "a1", Life: 1, Seq: 1}}
			for _, s := range c.servers {
				v.Dues = append(v.Dues, spread.Due{Server: s.ID, Share: 1, Rate: 50})
			}
			c.ApplyView(now, v)
		}},
		{"tick, most are suspect", func(c *Controller, now Time) {
			suspectServers(c, now, len(c.servers)-1)
			c.Handle(now+100*ms, Tick{})
		}},
		{"tick, all are suspect", func(c *Controller, now Time) {
			suspectServers(c, now, len(c.servers))
			c.Handle(now+100*ms, Tick{})
		}},
	} {
		for _, measured := range []bool{true, false} {
			most := 0.0
			for _, n := range []int{100, 730} {
				c, now := newLoadedController(t, n, measured, Tenant{"t", 100}, Tenant{"u", 100})
				c.serverVisits = 0
				tc.do(c, now)
				if most = max(most, float64(c.serverVisits)/float64(n)); float64(c.serverVisits) > 4*float64(n)+4 {
					t.Errorf("%s, measured %v: %d visits of %d servers", tc.name, measured, c.serverVisits, n)
				}
			}
			t.Logf("%s, measured %v: %.2f visits of each server", tc.name, measured, most)
		}
	}
}
