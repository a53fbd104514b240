package chainlab

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"woodrouter/isup"
)

// Lists measures how an agent gets on with long lists of setup servers and few descriptors: it
// keeps a connection to each server that is up, or to a subset where the list does not fit in its
// part of the descriptors, and callers may have a third of the limit. Where it keeps a subset, calls
// whose first choice has no connection tell what a dial on demand adds to them.
type Lists struct {
	Bin, Dir      string
	Servers       []int
	Sockets       []int
	Target        int           // servers that the plan has
	SettleTimeout time.Duration // most that an agent gets for its connections to come up
	QuietSpan     time.Duration // counted without callers
	CallTimeout   time.Duration // of a caller
}

// callerDivisor is what callers may have of the descriptors: one in so many.
const callerDivisor = 3

// listResult is what one agent showed.
type listResult struct {
	readyAfter                                time.Duration // until a test was passed; 0: never within Settle
	connected, descriptors                    int           // before callers came
	cores                                     float64       // cores, then
	polls                                     int64         // of the bulletin, then
	callers, connectedAfter, descriptorsAfter int
	first, second                             outcomes // each caller's first call, and its next 1 s later
	rss                                       int64
	logCounts                                 string
	demand                                    demandResult
	standing                                  demandResult // calls that were not released, at more servers than the agent has places for
}

// demandResult is what calls whose first choice had no connection showed, and the next call to each of those
// servers, which had one then.
type demandResult struct {
	asked, answeredThere, elsewhere int // answered by the server asked for, by another
	refused                         int // or not at all
	dialTimes, connectedTimes       []time.Duration
}

// maxDemandCalls is how many servers without a connection are asked for.
const maxDemandCalls = 20

// outcomes counts what callers were told.
type outcomes struct{ answered, refused, ended, unanswered int }

func (o outcomes) String() string {
	return fmt.Sprintf("%d/%d/%d/%d", o.answered, o.refused, o.ended, o.unanswered)
}

// Run plays every list with every limit.
func (m Lists) Run(ctx context.Context, out io.Writer) error {
	bed, err := newTestbed(m.Bin, m.Dir)
	if err != nil {
		return err
	}
	defer bed.close()
	most := 0
	for _, n := range m.Servers {
		most = max(most, n)
	}
	var servers []*chainServer
	for range most {
		server, err := bed.startServer("")
		if err != nil {
			return err
		}
		defer server.close()
		servers = append(servers, server)
	}
	fmt.Fprintf(out, "agents that the system holds to their descriptors (ulimit -n); callers' connections: one in %d of the limit, dialled over 1 s, a call each, 1 s later another over 1 s, and held until the last; outcomes: answered/refused/connection ended/unheard after %v\n", callerDivisor, m.CallTimeout)
	fmt.Fprintf(out, "  %7s %7s | %6s %5s %5s %6s %5s | %7s %5s %5s %-17s %-17s | %6s | log: server not reached, accept failed, turned away, ended for a new one, bulletin\n", "sockets", "servers",
		"ready", "held", "fds", "cores", "polls", "callers", "held", "fds", "first call", "second call", "MB")
	for _, sockets := range m.Sockets {
		var x, y []float64
		base := 0
		for _, n := range m.Servers {
			res, err := m.run(ctx, bed, servers[:n], sockets)
			if err != nil {
				return err
			}
			ready := "never"
			if res.readyAfter > 0 {
				ready = res.readyAfter.Round(time.Millisecond).String()
			}
			fmt.Fprintf(out, "  %7d %7d | %6s %5d %5d %6.3f %5d | %7d %5d %5d %-17s %-17s | %6.1f |%s\n", sockets, n, ready, res.connected, res.descriptors, res.cores, res.polls,
				res.callers, res.connectedAfter, res.descriptorsAfter, res.first, res.second, float64(res.rss)/(1<<20), res.logCounts)
			if demand := res.demand; demand.asked > 0 {
				fmt.Fprintf(out, "  %7s %7s   first choice without a connection: %d asked for, %d answered there, %d elsewhere; answer after %s, the next call to the same after %s (p50, longest)\n",
					"", "", demand.asked, demand.answeredThere, demand.elsewhere, formatTimes(demand.dialTimes), formatTimes(demand.connectedTimes))
				standing := res.standing
				fmt.Fprintf(out, "  %7s %7s   the same, all left standing: %d asked for, %d answered there, %d elsewhere, %d not; answer there after %s, elsewhere after %s\n",
					"", "", standing.asked, standing.answeredThere, standing.elsewhere, standing.refused, formatTimes(standing.dialTimes), formatTimes(standing.connectedTimes))
			}
			if res.connected == n {
				base = res.descriptors - res.connected
				x, y = append(x, float64(n)), append(y, float64(res.rss))
			}
		}
		if base > 0 {
			edge := sockets - sockets/callerDivisor - base
			fmt.Fprintf(out, "  %7d: %d descriptors beside servers and callers: by count a third for callers fits up to %d servers, %.0f%% of %d\n",
				sockets, base, edge, 100*min(float64(edge)/float64(m.Target), 1), m.Target)
		}
		if len(x) > 1 {
			fmt.Fprintf(out, "  %7d: bytes = a + b × servers, with its callers, where all are held: %s\n", sockets, formatFit(x, y))
		}
	}
	return nil
}

func countConnections(servers []*chainServer) (n int) {
	for _, server := range servers {
		n += int(server.openConns.Load())
	}
	return n
}

func (m Lists) run(ctx context.Context, bed *testbed, servers []*chainServer, sockets int) (res listResult, err error) {
	process, err := bed.startAgent(servers, limits{sockets: sockets, enforceSockets: true})
	if err != nil {
		return res, err
	}
	defer func() {
		process.Kill()
		for until := time.Now().Add(2 * time.Second); countConnections(servers) > 0 && time.Now().Before(until); {
			time.Sleep(10 * time.Millisecond)
		}
	}()
	began := time.Now()
	if process.awaitReady(ctx, m.SettleTimeout) == nil {
		res.readyAfter = time.Since(began)
	}
	if ctx.Err() != nil || !process.Running() {
		return res, fmt.Errorf("agent with %d servers and %d descriptors: %s", len(servers), sockets, process.Log())
	}
	for until := began.Add(m.SettleTimeout); countConnections(servers) < len(servers) && time.Now().Before(until); {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	before, err := processorTime(process.PID())
	if err != nil {
		return res, err
	}
	polls := bed.polls.Load()
	time.Sleep(m.QuietSpan)
	after, err := processorTime(process.PID())
	if err != nil {
		return res, err
	}
	res.cores, res.polls = (after-before).Seconds()/m.QuietSpan.Seconds(), bed.polls.Load()-polls
	res.connected = countConnections(servers)
	if res.descriptors, err = countDescriptors(process.PID()); err != nil {
		return res, err
	}
	if res.demand, err = m.measureDemand(ctx, process.addr, servers); err != nil {
		return res, err
	}
	res.callers = sockets / callerDivisor
	var each sync.WaitGroup
	var mu sync.Mutex
	secondCalls, leave := make(chan struct{}), make(chan struct{}) // closed: the second calls come, callers may go
	var firsts, seconds sync.WaitGroup
	firsts.Add(res.callers)
	seconds.Add(res.callers)
	for i := range res.callers {
		each.Go(func() {
			turn := time.Second * time.Duration(i) / time.Duration(res.callers)
			time.Sleep(turn)
			caller := &singleCaller{addr: process.addr, timeout: m.CallTimeout}
			defer caller.close()
			caller.countCall(&mu, &res.first)
			firsts.Done()
			<-secondCalls
			time.Sleep(turn)
			caller.countCall(&mu, &res.second)
			seconds.Done()
			<-leave // a connection that ends makes room for another's
		})
	}
	firsts.Wait()
	res.connectedAfter = countConnections(servers)
	if res.descriptorsAfter, err = countDescriptors(process.PID()); err == nil {
		res.rss, err = residentBytes(process.PID())
	}
	time.Sleep(time.Second)
	close(secondCalls)
	seconds.Wait()
	if res.demand.asked > 0 {
		res.standing = m.measureStanding(ctx, process.addr, servers, sockets/standingDivisor)
	}
	close(leave)
	each.Wait()
	for _, line := range []string{"setup server not reached", "accept failed", "caller turned away", "ended for a new one", "bulletin"} {
		res.logCounts += fmt.Sprint(" ", strings.Count(process.Log(), line))
	}
	return res, err
}

// formatTimes words the median and the longest of some times.
func formatTimes(all []time.Duration) string {
	if len(all) == 0 {
		return "-"
	}
	slices.Sort(all)
	return fmt.Sprintf("%v, %v", all[len(all)/2].Round(time.Microsecond), all[len(all)-1].Round(time.Microsecond))
}

// measureDemand places two calls, one after the other, to each of some servers to which the agent has no
// connection. Each is released once it is answered. The agent may take the places of the
// connections made here again after that.
func (m Lists) measureDemand(ctx context.Context, addr string, servers []*chainServer) (d demandResult, err error) {
	caller := &singleCaller{addr: addr, timeout: m.CallTimeout}
	defer caller.close()
	for i, server := range servers {
		if d.asked == maxDemandCalls || ctx.Err() != nil {
			break
		}
		if server.openConns.Load() > 0 {
			continue
		}
		d.asked++
		caller.figures = fmt.Sprintf("dest:%d;%s", i, setUpFigures)
		for range 2 {
			before, began := server.setUps.Load(), time.Now()
			id, ending := caller.placeCall()
			took := time.Since(began)
			if ending != isup.Answer {
				return d, fmt.Errorf("call to server %d without a connection: not answered (%d)", i, ending)
			}
			there := server.setUps.Load() > before
			switch {
			case len(d.dialTimes) == len(d.connectedTimes) && there:
				d.answeredThere++
				d.dialTimes = append(d.dialTimes, took)
			case there:
				d.connectedTimes = append(d.connectedTimes, took)
			default:
				d.elsewhere++
			}
			if err := caller.release(id); err != nil {
				return d, err
			}
			if !there {
				break
			}
		}
	}
	if d.asked > 0 {
		time.Sleep(2 * time.Second) // their places may be taken again, and they are idle
	}
	return d, ctx.Err()
}

// standingDivisor is the part of the descriptors, one in so many, that is the number of calls left standing.
const standingDivisor = 4

// measureStanding places a call to each of some servers to which the agent has no connection, and leaves it
// standing. connected are the answers of other servers than were asked for.
func (m Lists) measureStanding(ctx context.Context, addr string, servers []*chainServer, most int) (d demandResult) {
	caller := &singleCaller{addr: addr, timeout: m.CallTimeout}
	defer caller.close()
	for i, server := range servers {
		if d.asked == most || ctx.Err() != nil {
			break
		}
		if server.openConns.Load() > 0 {
			continue
		}
		d.asked++
		caller.figures = fmt.Sprintf("dest:%d;%s", i, setUpFigures)
		before, began := server.setUps.Load(), time.Now()
		_, ending := caller.placeCall()
		took := time.Since(began)
		switch {
		case ending != isup.Answer:
			d.refused++
		case server.setUps.Load() > before:
			d.answeredThere++
			d.dialTimes = append(d.dialTimes, took)
		default:
			d.elsewhere++
			d.connectedTimes = append(d.connectedTimes, took)
		}
	}
	return d
}

// singleCaller is a caller with a connection and one call at a time.
type singleCaller struct {
	addr    string
	timeout time.Duration
	conn    net.Conn
	in      *bufio.Reader
	failed  bool   // nothing can come any more
	figures string // of its set-ups; "": no first choice
}

func (c *singleCaller) close() {
	if c.conn != nil {
		c.conn.Close()
	}
}

// countCall places a call and counts what came of it.
func (c *singleCaller) countCall(mu *sync.Mutex, to *outcomes) {
	_, ending := c.placeCall()
	mu.Lock()
	defer mu.Unlock()
	switch ending {
	case isup.Answer:
		to.answered++
	case isup.Release:
		to.refused++
	case 0:
		to.unanswered++
	default:
		to.ended++
	}
}

// release ends a call that stands.
func (c *singleCaller) release(id isup.CallID) error {
	return (&messageConn{Conn: c.conn}).send(isup.Message{Type: isup.Release, Call: id}.WithCause(isup.Normal))
}

// placeCall places a call and returns the type of what ended its set-up; 0: nothing did in time, 255: its
// connection ended, or none was to be had.
func (c *singleCaller) placeCall() (id isup.CallID, ending isup.Type) {
	const ended = 255
	if c.failed {
		return 0, ended
	}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, c.timeout)
		if err != nil {
			c.failed = true
			return 0, ended
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	id = isup.CallID(lastCallID.Add(1))
	c.conn.SetDeadline(time.Now().Add(c.timeout))
	w := &messageConn{Conn: c.conn}
	m := setUpMessage(id, class, timeLeftMs, id.String(), "offer")
	if c.figures != "" {
		m.Values[3].Data = []byte(c.figures)
	}
	if err := w.send(m); err != nil {
		c.failed = true
		return id, ended
	}
	for {
		m, err := isup.Read(c.in)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return id, 0
		case err != nil:
			c.failed = true
			return id, ended
		case m.Call == id && (m.Type == isup.Answer || m.Type == isup.Release):
			return id, m.Type
		}
	}
}
