package members

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"woodrouter/internal/faultnet"
)

// The code below measures a large membership: real agents on loopback in child processes of this test
// program, each of which executes the commands that it reads from its standard input.

var (
	manySizes    = flag.String("many", "100", "numbers of agents, separated by commas")
	manyShape    = flag.String("shape", "apart", "how the agents are distributed and join: turn, batch or apart")
	manyCompress = flag.Bool("compress", false, "compress, as the membership for spreading load does")
)

// shape is how the agents of a fleet are distributed over processes and join.
type shape struct {
	procs, seeds, atOnce int           // atOnce: concurrent joins
	jitter               time.Duration // before each join, drawn evenly up to this
}

var shapes = map[string]shape{
	"turn":  {procs: 1, seeds: 1, atOnce: 1},
	"batch": {procs: 1, seeds: 4, atOnce: 20, jitter: 100 * time.Millisecond},
	"apart": {procs: 8, seeds: 4, atOnce: 20, jitter: 100 * time.Millisecond},
}

// Durations of the phases of a run.
const (
	joinTimeout     = 45 * time.Second
	convergeTimeout = 20 * time.Second
	idleDuration    = 10 * time.Second
	deathTimeout    = 30 * time.Second
)

// command is a line sent to a child process, result its answer.
type command struct {
	Action string
	Agent  int
	Size   int
}

type result struct {
	Agent            int
	Err              string `json:",omitempty"`
	Disagreeing      int    // agents of the process whose size of the fleet is not command.Size
	Datagrams        int64
	Sent, Received   int64 // bytes in datagrams
	Streamed         int64 // bytes both ways in streams opened here
	Streams, Refused int64 // streams opened, and failed attempts among them
	CPU              time.Duration
	RSS              int64
}

// childEnv is the environment variable that gives a child process the second octet of its addresses, the
// number of seeds, -compress, and the number of processes.
const childEnv = "MEMBERS_OF_MANY"

// meteredTransport counts what the agents of a process send and receive.
type meteredTransport struct {
	*transport
	p  *process
	in chan *memberlist.Packet
}

func (t *meteredTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	t.p.datagrams.Add(1)
	t.p.sent.Add(int64(len(b)))
	return t.transport.WriteToAddress(b, a)
}

// forward counts received datagrams. PacketCh cannot do it, as the library calls it again for each datagram.
func (t *meteredTransport) forward() {
	for p := range t.transport.PacketCh() {
		t.p.received.Add(int64(len(p.Buf)))
		t.in <- p
	}
}

func (t *meteredTransport) PacketCh() <-chan *memberlist.Packet { return t.in }

func (t *meteredTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	c, err := t.transport.DialAddressTimeout(a, timeout)
	t.p.streams.Add(1)
	if err != nil {
		t.p.refused.Add(1)
		return nil, err
	}
	return &meteredConn{c, t.p}, nil
}

// meteredConn counts the bytes of a stream.
type meteredConn struct {
	net.Conn
	p *process
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.p.streamed.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.p.streamed.Add(int64(n))
	return n, err
}

// process holds the agents of one child process.
type process struct {
	octet, seeds                                          int
	compress                                              bool
	datagrams, sent, received, streamed, streams, refused atomic.Int64

	mu     sync.Mutex
	agents map[int]*Members
}

func (p *process) address(i int) string {
	return fmt.Sprintf("127.%d.%d.%d:7946", p.octet, (i+1)>>8, (i+1)&255)
}

// join opens the membership of agent i and joins the seeds.
func (p *process) join(i int) error {
	cfg := Config{Bind: p.address(i), Compress: p.compress, tune: func(c *memberlist.Config, _ *seeker) {
		t := &meteredTransport{c.Transport.(*transport), p, make(chan *memberlist.Packet)}
		go t.forward()
		c.Transport = t
	}}
	for s := range p.seeds {
		cfg.Seeds = append(cfg.Seeds, p.address(s))
	}
	m, err := Open(cfg, Member{Name: fmt.Sprint("a", i), Zone: fmt.Sprint("z", i%4), Region: "r"}, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.agents[i] = m
	p.mu.Unlock()
	_, err = m.Rejoin()
	go m.StayJoined(context.Background())
	if i == 0 {
		err = nil // the first agent has nobody to join
	}
	return err
}

// run executes one command.
func (p *process) run(o command) result {
	g := result{Agent: o.Agent, Datagrams: p.datagrams.Load(), Sent: p.sent.Load(), Received: p.received.Load(), Streamed: p.streamed.Load(),
		Streams: p.streams.Load(), Refused: p.refused.Load()}
	var use syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &use)
	g.CPU = time.Duration(use.Utime.Nano() + use.Stime.Nano())
	g.RSS = residentBytes()
	switch o.Action {
	case "join":
		if err := p.join(o.Agent); err != nil {
			g.Err = err.Error()
		}
	case "shut":
		p.mu.Lock()
		m := p.agents[o.Agent]
		delete(p.agents, o.Agent)
		p.mu.Unlock()
		m.Shutdown()
	case "look":
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, m := range p.agents {
			if m.Size() != o.Size {
				g.Disagreeing++
			}
		}
	}
	return g
}

// residentBytes returns the resident memory of this process.
func residentBytes() int64 {
	status, _ := os.ReadFile("/proc/self/statm")
	f := strings.Fields(string(status))
	if len(f) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(f[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// maxMemoryBytes bounds the memory of all processes of a run together: a process that exceeds its part of it
// exits.
const maxMemoryBytes = 6 << 30

// runChild executes the commands on standard input until it is closed.
func runChild(config string) {
	p := &process{agents: map[int]*Members{}}
	var procs int64
	fmt.Sscan(config, &p.octet, &p.seeds, &p.compress, &procs)
	go func() {
		for range time.Tick(200 * time.Millisecond) {
			if residentBytes() > maxMemoryBytes/procs {
				fmt.Fprintln(os.Stderr, "memory limit exceeded")
				os.Exit(1)
			}
		}
	}()
	in, out := bufio.NewScanner(os.Stdin), json.NewEncoder(os.Stdout)
	var mu sync.Mutex
	for in.Scan() {
		var o command
		if json.Unmarshal(in.Bytes(), &o) != nil {
			return
		}
		go func() {
			g := p.run(o)
			mu.Lock()
			defer mu.Unlock()
			out.Encode(g)
		}()
	}
}

// worker is a child process as the benchmark sees it. Answers are assigned to commands by the agent's number.
type worker struct {
	mu      sync.Mutex
	cmd     *exec.Cmd
	in      *json.Encoder
	close   func() error
	pending map[int]chan result
	ended   bool
}

// startWorker starts a child process.
func startWorker(octet byte, sh shape) (*worker, error) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d %d %v %d", childEnv, octet, sh.seeds, *manyCompress, sh.procs))
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	w := &worker{cmd: cmd, in: json.NewEncoder(in), close: in.Close, pending: map[int]chan result{}}
	go func() {
		lines := json.NewDecoder(out)
		for {
			var g result
			if lines.Decode(&g) != nil { // the process has ended
				w.mu.Lock()
				defer w.mu.Unlock()
				for _, c := range w.pending {
					c <- result{Err: "the process has ended"}
				}
				w.pending, w.ended = nil, true
				return
			}
			w.mu.Lock()
			c := w.pending[g.Agent]
			delete(w.pending, g.Agent)
			w.mu.Unlock()
			c <- g
		}
	}()
	return w, cmd.Start()
}

// send sends one command, and waits a minute at most for its answer.
func (w *worker) send(o command) result {
	c := make(chan result, 1)
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		return result{Err: "the process has ended"}
	}
	w.pending[o.Agent] = c
	err := w.in.Encode(o)
	w.mu.Unlock()
	if err != nil {
		return result{Err: err.Error()}
	}
	select {
	case g := <-c:
		return g
	case <-time.After(time.Minute):
		return result{Err: "no answer"}
	}
}

// fleet is all child processes. A command for a whole process has agent number -1.
type fleet []*worker

// collect returns the sum of the processes' counters.
func (f fleet) collect(size int) (total result) {
	var mu sync.Mutex
	var work sync.WaitGroup
	for _, w := range f {
		work.Go(func() {
			g := w.send(command{"look", -1, size})
			mu.Lock()
			defer mu.Unlock()
			total.Disagreeing += g.Disagreeing
			total.Datagrams += g.Datagrams
			total.Sent += g.Sent
			total.Received += g.Received
			total.Streamed += g.Streamed
			total.Streams += g.Streams
			total.Refused += g.Refused
			total.CPU += g.CPU
			total.RSS += g.RSS
			total.Err = cmp.Or(total.Err, g.Err)
		})
	}
	work.Wait()
	return total
}

// awaitSize polls until every agent counts size agents, or until timeout has passed. It returns how long that
// took and how many agents still count differently.
func (f fleet) awaitSize(size int, timeout time.Duration) (took time.Duration, disagreeing int) {
	start := time.Now()
	for {
		g := f.collect(size)
		took = time.Since(start)
		if g.Err == "" && g.Disagreeing == 0 || took > timeout {
			return took, g.Disagreeing
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// BenchmarkMany measures the cost of a membership of many agents, and how soon all of them know of a join and
// of a death. Times are in seconds. For a phase that did not end in time the number of agents that lacked the
// change is reported.
//
//	go test -run '^$' -bench Many -benchtime 1x -many 100,200,400,730 -shape apart ./internal/fleet/members
func BenchmarkMany(b *testing.B) {
	sh, ok := shapes[*manyShape]
	if !ok {
		b.Fatalf("no shape %q", *manyShape)
	}
	for _, text := range strings.Split(*manySizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 2 || n > 1000 {
			b.Fatalf("%q: not from 2 to 1000 agents", text)
		}
		b.Run(fmt.Sprintf("%s/%d", *manyShape, n), func(b *testing.B) {
			for range b.N {
				measureFleet(b, sh, n)
			}
		})
	}
}

// measureFleet starts n agents, and reports the cost of their joining, of the membership at rest, and the
// time until all know of one death.
func measureFleet(b *testing.B, sh shape, n int) {
	octet, err := faultnet.ReserveOctet()
	if err != nil {
		b.Fatal(err)
	}
	defer octet.Release()
	var f fleet
	defer func() {
		for _, w := range f {
			w.close()
			w.cmd.Process.Kill()
			w.cmd.Wait()
		}
	}()
	for range sh.procs {
		w, err := startWorker(octet.N, sh)
		if err != nil {
			b.Fatal(err)
		}
		f = append(f, w)
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	next := make(chan int)
	go func() {
		defer close(next)
		for i := range n {
			select {
			case next <- i:
			case <-ctx.Done():
				return
			}
		}
	}()
	var failed, joined atomic.Int64
	var took []time.Duration
	var mu sync.Mutex
	var work sync.WaitGroup
	for range sh.atOnce {
		work.Go(func() {
			for i := range next {
				if sh.jitter > 0 {
					time.Sleep(time.Duration(rand.Int64N(int64(sh.jitter))))
				}
				joinStart := time.Now()
				if g := f[i%sh.procs].send(command{"join", i, 0}); g.Err != "" {
					if failed.Add(1) == 1 {
						b.Logf("agent %d: %s", i, g.Err)
					}
				}
				joined.Add(1)
				mu.Lock()
				took = append(took, time.Since(joinStart))
				mu.Unlock()
			}
		})
	}
	work.Wait()
	n = int(joined.Load())
	slices.Sort(took)
	joining := time.Since(start)
	converging, lacking := f.awaitSize(n, convergeTimeout)
	first := f.collect(n)
	if first.Err != "" {
		b.Fatal(first.Err)
	}
	time.Sleep(idleDuration)
	second := f.collect(n)
	idle := idleDuration.Seconds()
	perAgent := func(d int64) float64 { return float64(d) / idle / float64(n) }
	b.ReportMetric(float64(n), "agents")
	b.ReportMetric(joining.Seconds(), "join-s")
	b.ReportMetric(took[len(took)*99/100].Seconds()*1000, "join-p99-ms")
	b.ReportMetric(float64(failed.Load()), "joins-failed")
	b.ReportMetric(first.CPU.Seconds()/(joining+converging).Seconds(), "join-cores")
	b.ReportMetric(converging.Seconds(), "know-s")
	b.ReportMetric(float64(lacking), "know-lack")
	b.ReportMetric(float64(second.RSS)/float64(n)/1e6, "MB/agent")
	b.ReportMetric(perAgent(second.Datagrams-first.Datagrams), "dgrams/s/agent")
	b.ReportMetric(perAgent(second.Sent-first.Sent), "udp-out-B/s/agent")
	b.ReportMetric(perAgent(second.Received-first.Received), "udp-in-B/s/agent")
	b.ReportMetric(perAgent(second.Streamed-first.Streamed), "tcp-B/s/agent")
	b.ReportMetric(float64(second.Streams-first.Streams)/idle, "streams/s")
	b.ReportMetric((second.CPU-first.CPU).Seconds()/idle, "rest-cores")
	f[(n-1)%sh.procs].send(command{"shut", n - 1, 0})
	death, lacking := f.awaitSize(n-1, deathTimeout)
	b.ReportMetric(death.Seconds(), "death-s")
	b.ReportMetric(float64(lacking), "death-lack")
	b.ReportMetric(0, "ns/op")
}
