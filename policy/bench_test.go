package policy

import (
	"fmt"
	"testing"
	"time"

	"woodrouter/spread"
)

// serverCounts are the numbers of servers with which the benchmarks run.
var serverCounts = []int{10, 27, 100, 300, 730, 1460}

// newLoadedController returns a controller with n servers that have reported their lines and, if
// measured is set, each have a capacity.
func newLoadedController(tb testing.TB, n int, measured bool, tenants ...Tenant) (*Controller, Time) {
	tb.Helper()
	set := testSettings()
	set.Tenants, set.Senders, set.Spread = tenants, 240, spread.Config{Name: "a1", Life: 1}
	c, err := New(set, 7)
	if err != nil {
		tb.Fatal(err)
	}
	now := time.Hour
	c.Handle(now, ServerList{Whole: true, Servers: upServers(n)})
	for i := range 4 {
		now += 450 * ms
		for j, s := range c.servers {
			c.Handle(now, linesReport(s.ID, float64(60+i+j%5), 400))
		}
	}
	for i, s := range c.servers {
		s.window = 4
		if measured {
			s.capacity = float64(40 + i%7)
		}
	}
	return c, now
}

// forEachSize runs a benchmark with every number of servers, with and without measured capacities.
func forEachSize(b *testing.B, f func(b *testing.B, c *Controller, now Time)) {
	for _, measured := range []bool{true, false} {
		for _, n := range serverCounts {
			b.Run(fmt.Sprintf("measured=%v/servers=%d", measured, n), func(b *testing.B) {
				c, now := newLoadedController(b, n, measured)
				b.ReportAllocs()
				b.ResetTimer()
				f(b, c, now)
			})
		}
	}
}

// BenchmarkArrival takes calls through their whole life, one each millisecond. ns/decision covers only
// the arrival with the choice of a server.
func BenchmarkArrival(b *testing.B) {
	for _, first := range []bool{true, false} {
		b.Run(fmt.Sprintf("first=%v", first), func(b *testing.B) {
			forEachSize(b, func(b *testing.B, c *Controller, now Time) {
				var spent time.Duration
				sent := 0
				for i := range b.N {
					now += ms
					a := Arrival{ID: "c", Class: "look", TimeLeft: 3 * time.Second, Pool: -1}
					if first {
						a.Pool = i * 7 % len(c.servers)
					}
					at := time.Now()
					acts := c.Handle(now, a)
					spent += time.Since(at)
					to := actionsOf[Send](acts)
					if len(to) == 0 {
						c.Handle(now, Departed{ID: "c"})
						continue
					}
					sent++
					now += ms
					c.Handle(now, Standing{ID: "c", Server: to[0].Server})
					c.Handle(now, Ended{ID: "c", Server: to[0].Server, Result: OK, Complete: true, Report: EmptyReport()})
				}
				b.ReportMetric(float64(spent.Nanoseconds())/float64(b.N), "ns/decision")
				b.ReportMetric(float64(sent)/float64(b.N), "sent/op")
			})
		})
	}
}

// BenchmarkTick handles a timer event with nothing to do, with three quarters of the servers suspect,
// with all of them suspect, and with 50 waiting calls that no server has a window for.
func BenchmarkTick(b *testing.B) {
	for _, tc := range []struct {
		name string
		set  func(c *Controller, now Time)
	}{
		{"calm", func(*Controller, Time) {}},
		{"suspect=3of4", func(c *Controller, now Time) { suspectServers(c, now, len(c.servers)*3/4) }},
		{"suspect=all", func(c *Controller, now Time) { suspectServers(c, now, len(c.servers)) }},
		{"held=50", func(c *Controller, now Time) {
			for _, s := range c.servers {
				s.closedUntil = now + time.Hour
			}
			for i := range 50 {
				c.Handle(now, Arrival{ID: fmt.Sprint(i), Class: "look", TimeLeft: time.Hour, Pool: -1})
			}
			for _, cl := range c.held {
				cl.arrivedAt = now + time.Hour // keeps them waiting
			}
		}},
	} {
		b.Run(tc.name, func(b *testing.B) {
			forEachSize(b, func(b *testing.B, c *Controller, now Time) {
				tc.set(c, now)
				b.ResetTimer()
				for range b.N {
					now = max(now, c.wakeAt)
					c.Handle(now, Tick{})
					if now > 2*time.Hour { // before the waiting calls are refused
						b.StopTimer()
						c, now = newLoadedController(b, len(c.servers), c.servers[0].capacity > 0)
						tc.set(c, now)
						b.StartTimer()
					}
				}
			})
		})
	}
}

// suspectServers makes the first n servers suspect, as the loss of a zone does.
func suspectServers(c *Controller, now Time, n int) {
	for _, s := range c.servers[:n] {
		s.suspect, s.suspectSince, s.flow, s.latestFlow = true, now, 0, 0
	}
}

// BenchmarkLinesReport handles unsolicited reports of a server's lines.
func BenchmarkLinesReport(b *testing.B) {
	forEachSize(b, func(b *testing.B, c *Controller, now Time) {
		for i := range b.N {
			s := c.servers[i%len(c.servers)]
			if i%len(c.servers) == 0 {
				now += 450 * ms
			}
			c.Handle(now, linesReport(s.ID, float64(60+i%9), 400))
		}
	})
}

// BenchmarkProbeAnswer handles answers to probes.
func BenchmarkProbeAnswer(b *testing.B) {
	forEachSize(b, func(b *testing.B, c *Controller, now Time) {
		for i := range b.N {
			now += ms
			r := EmptyReport()
			r.Utilisation = 0.3 + float64(i%9)/100
			c.Handle(now, ReportReceived{Server: c.servers[i%len(c.servers)].ID, Result: OK, Solicited: true,
				Report: r})
		}
	})
}

// BenchmarkServerList handles updates with the whole server list.
func BenchmarkServerList(b *testing.B) {
	forEachSize(b, func(b *testing.B, c *Controller, now Time) {
		list := upServers(len(c.servers))
		for range b.N {
			now += ms
			c.Handle(now, ServerList{Whole: true, Servers: list})
		}
	})
}

// BenchmarkApplyView handles a steward's view of all servers.
func BenchmarkApplyView(b *testing.B) {
	forEachSize(b, func(b *testing.B, c *Controller, now Time) {
		for i := range b.N {
			now += 100 * ms
			v := spread.View{From: spread.Stamp{Name: "a2", Life: 1, Seq: uint64(i + 1)},
				Echo: spread.Stamp{Name: "a1", Life: 1, Seq: uint64(i + 1)}, Senders: 240}
			for j, s := range c.servers {
				v.Dues = append(v.Dues, spread.Due{Server: s.ID, Share: 40, Rate: float64(50 + (i+j)%9)})
			}
			c.ApplyView(now, v)
		}
	})
}
