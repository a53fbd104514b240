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

// Request is a request to a helper process, sent as one line of JSON. Each is answered before the next.
type Request struct {
	Do    string        // start, look, until, announce
	Agent int           // start: the only agent to start, or -1: all but the spare. announce: the agent
	Until []Condition   // until: conditions, polled together so that none delays another's observation
	Most  time.Duration // until: the timeout
	Value int64         // announce: the epoch
}

// Condition is a value that the agents of a process must reach.
type Condition struct {
	What string        // members, spread, zones, follows, announced, epoch, decided, or a milestone's name
	Want map[int]int64 // wanted value by group; groups without one are not waited for
}

// Response is the response to a request.
type Response struct {
	Error string     `json:",omitempty"`
	Look  *Usage     `json:",omitempty"`
	Until []Progress `json:",omitempty"` // until: the progress on each condition, in the request's order
}

// Progress is how far the agents of a process are with a condition.
type Progress struct {
	Reached map[int]int64 // by agent, in Unix µs; 0: not reached before the timeout
	Saw     map[int]int64 // by agent: the latest value
}

// Usage is the resources that a helper process has used since its start.
type Usage struct {
	CPUUs               int64 // user and system time (getrusage)
	RSS, Peak           int64 // resident memory now and at its peak, in bytes (/proc/self/status)
	FileIn, FileOut     int64 // bytes read and written (streams, deciders' files) less requests and responses
	GossipIn, GossipOut int64 // bytes in datagrams of all memberships (memberlist's own counters)
	Streams             int64 // bytes that memberships sent in streams; included in FileOut
	Agents              map[int]AgentCounts
}

// AgentCounts are the counters of one agent since its start.
type AgentCounts struct {
	Datagrams, Bytes map[string]int64 // datagrams that its memberships sent, and their bytes, by part
	In, Out          map[string]int64 // bytes received and sent, by part, where the code counts both
	Views            int64            // views received from the steward
	Alive            int64            // members that the agent's first membership takes for alive
}

// RunHelper is the main function of a helper process. It reads a HelperConfig and then requests from in, and
// runs its hollow agents until in ends.
func RunHelper(in io.Reader, out io.Writer, log *slog.Logger) error {
	pipe := &countingPipe{r: in, w: out}
	lines := bufio.NewReader(pipe)
	requests := json.NewDecoder(lines)
	var config HelperConfig
	if err := requests.Decode(&config); err != nil {
		return fmt.Errorf("scale: helper configuration: %w", err)
	}
	sink := &gossipSink{}
	metricsConfig := metrics.DefaultConfig("")
	metricsConfig.EnableHostname, metricsConfig.EnableRuntimeMetrics = false, false
	if _, err := metrics.NewGlobal(metricsConfig, sink); err != nil {
		return err
	}
	h := &helper{config: &config, log: log, agents: map[int]*hollowAgent{}, sink: sink, pipe: pipe}
	defer h.stop()
	responses := json.NewEncoder(pipe)
	for {
		var request Request
		switch err := requests.Decode(&request); {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
		if err := responses.Encode(h.handle(request)); err != nil {
			return err
		}
	}
}

// helper is the state of a helper process.
type helper struct {
	config *HelperConfig
	log    *slog.Logger
	agents map[int]*hollowAgent
	sink   *gossipSink
	pipe   *countingPipe
}

// stop stops all agents.
func (h *helper) stop() {
	var all sync.WaitGroup
	for _, agent := range h.agents {
		all.Go(agent.stop)
	}
	all.Wait()
}

// handle carries out one request.
func (h *helper) handle(request Request) Response {
	switch request.Do {
	case "start":
		return h.startAgents(request.Agent)
	case "look":
		return Response{Look: h.usage()}
	case "until":
		return h.awaitConditions(request)
	case "announce":
		if agent := h.agents[request.Agent]; agent != nil && agent.list != nil {
			agent.list.AnnounceEpoch(uint64(request.Value))
		}
		return Response{}
	}
	return Response{Error: "no such order: " + request.Do}
}

// startAgents starts agent one, or with -1 all of the process but the spare, at the plan's pace.
func (h *helper) startAgents(one int) Response {
	for _, i := range h.config.Mine {
		if one >= 0 && i != one || one < 0 && i == h.config.Agents {
			continue
		}
		agent := newHollowAgent(h.config, i, h.log)
		if err := agent.start(); err != nil {
			return Response{Error: fmt.Sprintf("agent %s: %v", agent.Name, err)}
		}
		h.agents[i] = agent
		time.Sleep(h.config.Pace)
	}
	return Response{}
}

// conditionPollInterval is the pause between two polls of the conditions. Polling a membership costs CPU
// time.
const conditionPollInterval = 25 * time.Millisecond

// awaitConditions polls the conditions until all agents have reached them or the timeout has passed.
func (h *helper) awaitConditions(request Request) Response {
	response := Response{Until: make([]Progress, len(request.Until))}
	left := make([]int, len(request.Until))
	for k := range response.Until {
		response.Until[k] = Progress{Reached: map[int]int64{}, Saw: map[int]int64{}}
	}
	end := time.Now().Add(request.Most)
	for turn := 0; ; turn++ {
		last, sum := time.Now().After(end), 0
		for k, condition := range request.Until {
			// Polling zones lists all members with their metadata, so it is done at every eighth turn only.
			if turn == 0 || left[k] > 0 && (condition.What != Zones || turn%8 == 0 || last) {
				left[k] = h.updateProgress(condition, response.Until[k])
			}
			sum += left[k]
		}
		if sum == 0 || last {
			return response
		}
		time.Sleep(conditionPollInterval)
	}
}

// updateProgress polls the agents that have not reached a condition yet, and returns how many still have not.
func (h *helper) updateProgress(condition Condition, progress Progress) (left int) {
	for i, agent := range h.agents {
		want, asked := condition.Want[agent.Group]
		if !asked || progress.Reached[i] != 0 {
			continue
		}
		n, at := agent.figure(condition.What)
		progress.Saw[i], progress.Reached[i] = n, 0
		// Counts of members must match exactly; other values only rise and may be beyond the wanted one.
		if n == want || n > want && condition.What != Members && condition.What != Zones && condition.What != Spread {
			progress.Reached[i] = at.UnixMicro()
			continue
		}
		left++
	}
	return left
}

// figure returns an agent's value for a condition, and since when it has it as far as that is known.
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

// usage returns what the process and its agents have used so far.
func (h *helper) usage() *Usage {
	usage := &Usage{Agents: map[int]AgentCounts{}}
	for i, agent := range h.agents {
		usage.Agents[i] = agent.counts()
	}
	usage.GossipIn, usage.GossipOut, usage.Streams = h.sink.in.Load(), h.sink.out.Load(), h.sink.streams.Load()
	io := procFields("/proc/self/io")
	usage.FileIn, usage.FileOut = io["rchar"]-h.pipe.in.Load(), io["wchar"]-h.pipe.out.Load()
	status := procFields("/proc/self/status")
	usage.RSS, usage.Peak = status["VmRSS"]<<10, status["VmHWM"]<<10
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) == nil {
		usage.CPUUs = (r.Utime.Nano() + r.Stime.Nano()) / 1000
	}
	return usage
}

// counts returns the counters of the agent's parts.
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

// procFields reads the lines "name: number" of a file in /proc.
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

// countingPipe counts the bytes of requests and responses, which are not part of the agents' traffic.
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

// gossipSink sums up memberlist's counters of bytes.
type gossipSink struct {
	metrics.BlackholeSink
	in, out, streams atomic.Int64
}

// IncrCounterWithLabels adds val to the sum for the counter key.
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
