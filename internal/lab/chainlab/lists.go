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

// Lists measures how an agent copes with long lists of setup servers and few descriptors. The agent keeps
// a connection to each server that is up, or to a subset if the list does not fit in its part of the
// descriptors; callers may use a third of the limit. With a subset, calls whose first choice has no
// connection show how much latency a dial on demand adds.
type Lists struct {
	Bin, Dir      string
	Servers       []int
	Sockets       []int
	Target        int           // number of servers to plan for
	SettleTimeout time.Duration // maximum time for the agent's connections to come up
	QuietSpan     time.Duration // measured time without callers
	CallTimeout   time.Duration // how long a caller waits for its answer
}

// callerDivisor divides the descriptor limit: the quotient is the number of callers' connections.
const callerDivisor = 3

// listResult is the result for one list of servers and one descriptor limit.
type listResult struct {
	// readyAfter is the time until the agent passed a test; 0: not within SettleTimeout.
	readyAfter time.Duration
	// Before callers connect: connections to servers, open descriptors, processor cores used, and long polls
	// of the bulletin.
	connected, descriptors                    int
	cores                                     float64
	polls                                     int64
	callers, connectedAfter, descriptorsAfter int
	first, second                             outcomes // of each caller's first call and, 1 s later, its second
	rss                                       int64
	logCounts                                 string
	demand                                    demandResult
	// standing is the result of calls left standing, at more servers than the agent has places for.
	standing demandResult
}

// demandResult is the result of calls whose first choice had no connection and, in measureDemand, of the
// next call to each of those servers, which by then had one.
type demandResult struct {
	asked, answeredThere, elsewhere int // all calls, and those answered by the first choice and by other servers
	refused                         int // calls without an answer
	dialTimes, connectedTimes       []time.Duration
}

// maxDemandCalls is the maximum number of servers without a connection that are called.
const maxDemandCalls = 20

// outcomes counts calls by their outcome: answered, refused, connection ended, no answer in time.
type outcomes struct{ answered, refused, ended, unanswered int }

func (o outcomes) String() string {
	return fmt.Sprintf("%d/%d/%d/%d", o.answered, o.refused, o.ended, o.unanswered)
}

// Run measures every list length with every descriptor limit.
func (m Lists) Run(ctx context.Context, out io.Writer) error {
	bed, err := newTestbed(m.Bin, m.Dir)
	if err != nil {
		return err
	}
	defer bed.close()
	longest := 0
	for _, n := range m.Servers {
		longest = max(longest, n)
	}
	var servers []*chainServer
	for range longest {
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
		otherDescriptors := 0
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
				otherDescriptors = res.descriptors - res.connected
				x, y = append(x, float64(n)), append(y, float64(res.rss))
			}
		}
		if otherDescriptors > 0 {
			maxServers := sockets - sockets/callerDivisor - otherDescriptors
			fmt.Fprintf(out, "  %7d: %d descriptors beside servers and callers: by count a third for callers fits up to %d servers, %.0f%% of %d\n",
				sockets, otherDescriptors, maxServers, 100*min(float64(maxServers)/float64(m.Target), 1), m.Target)
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
	var callers sync.WaitGroup
	var mu sync.Mutex
	// Closed to start the second calls, and to let the callers leave.
	secondCalls, leaveNow := make(chan struct{}), make(chan struct{})
	var firsts, seconds sync.WaitGroup
	firsts.Add(res.callers)
	seconds.Add(res.callers)
	for i := range res.callers {
		callers.Go(func() {
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
			<-leaveNow // stay connected: a closed connection would make room for another
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
	close(leaveNow)
	callers.Wait()
	for _, line := range []string{"setup server not reached", "accept failed", "caller turned away", "ended for a new one", "bulletin"} {
		res.logCounts += fmt.Sprint(" ", strings.Count(process.Log(), line))
	}
	return res, err
}

// formatTimes formats the median and the maximum.
func formatTimes(all []time.Duration) string {
	if len(all) == 0 {
		return "-"
	}
	slices.Sort(all)
	return fmt.Sprintf("%v, %v", all[len(all)/2].Round(time.Microsecond), all[len(all)-1].Round(time.Microsecond))
}

// measureDemand places two calls, one after the other, to each of up to maxDemandCalls servers to which
// the agent has no connection, and releases each call once it is answered. The agent may then reuse the
// places of the connections made here.
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
		time.Sleep(2 * time.Second) // the new connections become idle, and the agent may reuse their places
	}
	return d, ctx.Err()
}

// standingDivisor divides the descriptor limit: the quotient is the number of calls left standing.
const standingDivisor = 4

// measureStanding places a call to each of up to limit servers to which the agent has no connection, and
// leaves it standing. In its result, connectedTimes are the times of answers by other servers than the
// first choice.
func (m Lists) measureStanding(ctx context.Context, addr string, servers []*chainServer, limit int) (d demandResult) {
	caller := &singleCaller{addr: addr, timeout: m.CallTimeout}
	defer caller.close()
	for i, server := range servers {
		if d.asked == limit || ctx.Err() != nil {
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

// singleCaller is a caller with one connection that places one call at a time.
type singleCaller struct {
	addr    string
	timeout time.Duration
	conn    net.Conn
	in      *bufio.Reader
	failed  bool   // the connection has ended or could not be opened
	figures string // figures of its set-ups, with a first choice; "": the default, without one
}

func (c *singleCaller) close() {
	if c.conn != nil {
		c.conn.Close()
	}
}

// countCall places a call and counts its outcome.
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

// placeCall places a call and returns the type of the message that ended its set-up: 0 if none came in
// time, 255 if the connection ended or could not be opened.
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
	mc := &messageConn{Conn: c.conn}
	m := setUpMessage(id, class, timeLeftMs, id.String(), "offer")
	if c.figures != "" {
		m.Values[3].Data = []byte(c.figures)
	}
	if err := mc.send(m); err != nil {
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
