package scalelab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-metrics"
)

// Request is what the measurement asks of a helper process, one JSON line each, in turn.
type Request struct {
	Do    string        // start, look, until, announce
	Agent int           // start: this one alone; -1: all but the spare
	Until []Condition   // until: looked at together, so that none is seen late for another's sake
	Most  time.Duration // until: the bound
	Value int64         // announce: the epoch
}

// Condition is something that a process's agents are to come to.
type Condition struct {
	What string        // members, spread, zones, follows, or a mark's name
	Want map[int]int64 // by group; groups not named are not waited for
}

// Response answers an order.
type Response struct {
	Error string     `json:",omitempty"`
	Look  *Usage     `json:",omitempty"`
	Until []Progress `json:",omitempty"` // until: of each, in the order asked
}

// Progress is what a process's agents came to.
type Progress struct {
	Reached map[int]int64 // by agent, Unix µs; 0: not within the bound
	Saw     map[int]int64 // the latest figure
}

// Usage is what a helper process counts, all of it since its start.
type Usage struct {
	CPUUs               int64 // user and system time (getrusage)
	RSS, Peak           int64 // bytes (/proc/self/status)
	FileIn, FileOut     int64 // bytes of read and write calls, those of orders and answers taken off: streams, and files of deciders
	GossipIn, GossipOut int64 // bytes of datagrams of all memberships (memberlist's own counters)
	Streams             int64 // bytes that memberships sent by stream, part of FileOut
	Agents              map[int]AgentCounts
}

// AgentCounts are an agent's.
type AgentCounts struct {
	Datagrams, Bytes map[string]int64 // of its memberships, sent, by part
	In, Out          map[string]int64 // bytes by part where the code counts both ways
	Views            int64            // of the steward, heard
	Alive            int64            // thought alive by the first membership
}

// RunHelper is the main of a helper process: it plays its hollow agents until its input ends.
func RunHelper(in io.Reader, out io.Writer, log *slog.Logger) error {
	pipe := &countingPipe{r: in, w: out}
	lines := bufio.NewReader(pipe)
	orders := json.NewDecoder(lines)
	var d HelperConfig
	if err := orders.Decode(&d); err != nil {
		return fmt.Errorf("scale: the deal: %w", err)
	}
	sink := &gossipSink{}
	c := metrics.DefaultConfig("")
	c.EnableHostname, c.EnableRuntimeMetrics = false, false
	if _, err := metrics.NewGlobal(c, sink); err != nil {
		return err
	}
	w := &helper{config: &d, log: log, agents: map[int]*hollowAgent{}, sink: sink, pipe: pipe}
	defer w.stop()
	answers := json.NewEncoder(pipe)
	for {
		var o Request
		switch err := orders.Decode(&o); {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
		if err := answers.Encode(w.handle(o)); err != nil {
			return err
		}
	}
}

type helper struct {
	config *HelperConfig
	log    *slog.Logger
	agents map[int]*hollowAgent
	sink   *gossipSink
	pipe   *countingPipe
}

func (w *helper) stop() {
	var all sync.WaitGroup
	for _, h := range w.agents {
		all.Go(h.stop)
	}
	all.Wait()
}

func (w *helper) handle(o Request) Response {
	switch o.Do {
	case "start":
		return w.startAgents(o.Agent)
	case "look":
		return Response{Look: w.usage()}
	case "until":
		return w.awaitConditions(o)
	case "announce":
		if h := w.agents[o.Agent]; h != nil && h.list != nil {
			h.list.AnnounceEpoch(uint64(o.Value))
		}
		return Response{}
	}
	return Response{Error: "no such order: " + o.Do}
}

func (w *helper) startAgents(one int) Response {
	for _, i := range w.config.Mine {
		if one >= 0 && i != one || one < 0 && i == w.config.Agents {
			continue
		}
		h := newHollowAgent(w.config, i, w.log)
		if err := h.start(); err != nil {
			return Response{Error: fmt.Sprintf("agent %s: %v", h.Name, err)}
		}
		w.agents[i] = h
		time.Sleep(w.config.Pace)
	}
	return Response{}
}

// conditionPollInterval lies between two looks at what is no mark: asking a membership costs it.
const conditionPollInterval = 25 * time.Millisecond

func (w *helper) awaitConditions(o Request) Response {
	a := Response{Until: make([]Progress, len(o.Until))}
	left := make([]int, len(o.Until))
	for k := range a.Until {
		a.Until[k] = Progress{Reached: map[int]int64{}, Saw: map[int]int64{}}
	}
	end := time.Now().Add(o.Most)
	for turn := 0; ; turn++ {
		last, sum := time.Now().After(end), 0
		for k, u := range o.Until {
			// Zones are a list of all with their metadata each time: not at every turn.
			if turn == 0 || left[k] > 0 && (u.What != Zones || turn%8 == 0 || last) {
				left[k] = w.updateProgress(u, a.Until[k])
			}
			sum += left[k]
		}
		if sum == 0 || last {
			return a
		}
		time.Sleep(conditionPollInterval)
	}
}

// updateProgress looks at the agents that have not come to something yet, and tells how many have not still.
func (w *helper) updateProgress(u Condition, c Progress) (left int) {
	for i, h := range w.agents {
		want, asked := u.Want[h.Group]
		if !asked || c.Reached[i] != 0 {
			continue
		}
		n, at := h.figure(u.What)
		c.Saw[i], c.Reached[i] = n, 0
		// Those alive are as many, neither more nor fewer; what rises may have risen further.
		if n == want || n > want && u.What != Members && u.What != Zones && u.What != Spread {
			c.Reached[i] = at.UnixMicro()
			continue
		}
		left++
	}
	return left
}

// figure is what an agent has come to, and since when as far as that is known.
func (h *hollowAgent) figure(what string) (int64, time.Time) {
	switch what {
	case Members:
		return int64(h.list.Size()), time.Now()
	case Zones:
		n := 0
		for _, names := range h.placer.AliveByZone() {
			n += len(names)
		}
		return int64(n), time.Now()
	case Spread:
		return h.senders.Load(), time.Now()
	case "follows":
		if h.follows.Load() {
			return 1, time.Now()
		}
		return 0, time.Now()
	case "announced":
		return int64(h.list.Epoch()), time.Now()
	case "epoch":
		return int64(h.placer.Plan().Epoch), time.Now()
	case "decided": // when the plan in force was decided
		return int64(h.placer.Plan().AtUs), time.Now()
	}
	m := h.reached(what)
	return m.value, m.at
}

func (w *helper) usage() *Usage {
	l := &Usage{Agents: map[int]AgentCounts{}}
	for i, h := range w.agents {
		l.Agents[i] = h.counts()
	}
	l.GossipIn, l.GossipOut, l.Streams = w.sink.in.Load(), w.sink.out.Load(), w.sink.streams.Load()
	io := procFields("/proc/self/io")
	l.FileIn, l.FileOut = io["rchar"]-w.pipe.in.Load(), io["wchar"]-w.pipe.out.Load()
	status := procFields("/proc/self/status")
	l.RSS, l.Peak = status["VmRSS"]<<10, status["VmHWM"]<<10
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) == nil {
		l.CPUUs = (r.Utime.Nano() + r.Stime.Nano()) / 1000
	}
	return l
}

func (h *hollowAgent) counts() AgentCounts {
	c := AgentCounts{Datagrams: map[string]int64{}, Bytes: map[string]int64{}, In: map[string]int64{}, Out: map[string]int64{}, Views: h.views.Load()}
	if h.list != nil {
		c.Datagrams[Members], c.Bytes[Members], _ = h.list.Traffic()
		c.Alive = int64(h.list.Size())
	}
	if h.spread != nil {
		t := h.spread.Traffic()
		c.Datagrams[Spread], c.Bytes[Spread], c.In[Spread] = t.Sent, t.Bytes, t.Received
	}
	if h.placer != nil {
		c.Datagrams[Zones], c.Bytes[Zones], _ = h.placer.GossipTraffic()
	}
	if h.config != nil {
		c.Out[Config], c.In[Config] = h.config.traffic()
	}
	return c
}

// procFields reads "name: number" lines of a file of /proc.
func procFields(path string) map[string]int64 {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil
	}
	out := map[string]int64{}
	for line := range strings.Lines(string(text)) {
		name, rest, _ := strings.Cut(line, ":")
		if f := strings.Fields(rest); len(f) > 0 {
			if n, err := strconv.ParseInt(f[0], 10, 64); err == nil {
				out[name] = n
			}
		}
	}
	return out
}

// countingPipe counts what orders and answers take of the process's reads and writes.
type countingPipe struct {
	r       io.Reader
	w       io.Writer
	in, out atomic.Int64
}

func (c *countingPipe) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	c.in.Add(int64(n))
	return n, err
}

func (c *countingPipe) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	c.out.Add(int64(n))
	return n, err
}

// gossipSink keeps the counters that memberlist has of its bytes.
type gossipSink struct {
	metrics.BlackholeSink
	in, out, streams atomic.Int64
}

// IncrCounterWithLabels takes one.
func (s *gossipSink) IncrCounterWithLabels(key []string, val float32, _ []metrics.Label) {
	if len(key) != 3 || key[0] != "memberlist" {
		return
	}
	switch key[1] + " " + key[2] {
	case "udp received":
		s.in.Add(int64(val))
	case "udp sent":
		s.out.Add(int64(val))
	case "tcp sent":
		s.streams.Add(int64(val))
	}
}
