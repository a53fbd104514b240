package scalelab

import (
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Distribution is a figure over agents or processes.
type Distribution struct{ Mean, P50, P99, Max float64 }

func distribution(x []float64) (d Distribution) {
	if len(x) == 0 {
		return d
	}
	slices.Sort(x)
	return Distribution{stat.Mean(x, nil), stat.Quantile(0.5, stat.Empirical, x, nil), stat.Quantile(0.99, stat.Empirical, x, nil), x[len(x)-1]}
}

// Convergence is how long it took until all agents knew of something.
type Convergence struct {
	What    string
	Of      int // agents that were to know
	Reached int // that did within MostS
	Share   float64
	Lack    []string `json:",omitempty"` // some of the others, with what they came to
	Seconds Distribution
	MostS   float64
	Err     string `json:",omitempty"`
}

func (k Convergence) String() string {
	text := fmt.Sprintf("%s: %d of %d, p50 %.2f s, p99 %.2f s, last %.2f s", k.What, k.Reached, k.Of, k.Seconds.P50, k.Seconds.P99, k.Seconds.Max)
	if k.Reached < k.Of {
		text += fmt.Sprintf(" (given up after %.0f s; mean share known %.1f %%; %s)", k.MostS, 100*k.Share, strings.Join(k.Lack, ", "))
	}
	if k.Err != "" {
		text += " (" + k.Err + ")"
	}
	return text
}

// Cost is what an agent, or a process alone, takes.
type Cost struct {
	Role      string  // of the process; "": the agents that share processes
	Sent      float64 // bytes a second, of all that its process sends
	Received  float64
	Core      float64 // share of a core
	Memory    float64 // bytes
	Datagrams float64 // sent a second
}

// Result is what one plan's run showed.
type Result struct {
	Plan
	Began     time.Time
	Processes int
	Started   float64 // seconds until all agents were started
	SpanS     float64
	// Agents are those that share processes: by process, divided by its agents, the empty process
	// taken off; Sent and Received are all bytes in datagrams and streams without the headers of
	// UDP, TCP and IP.
	Sent, Received, Core, Memory Distribution
	// Parts are figures by agent where the code counts: discovery at the list (both ways), members,
	// spread and zones their datagrams sent, config both ways.
	PartSent, PartReceived, PartDatagrams map[string]Distribution
	Alone                                 []Cost // the processes of one agent, by role
	Empty                                 Cost   // the process without agents
	Machines                              []Cost
	Watches                               float64 // of the list, asked an agent a second
	Views                                 float64 // heard an agent a second
	Alive                                 Distribution
	Knew                                  []Convergence
	Notes                                 []string
	Err                                   string `json:",omitempty"`
}

// recordSpan takes the figures between two looks.
func (s *Result) recordSpan(r *Run, before, after map[*helperProcess]Response, listBefore, listAfter map[string]WatchStats) {
	type rates struct{ sent, received, core, memory float64 }
	of := func(h *helperProcess) (x rates) {
		a, b := before[h].Look, after[h].Look
		if a == nil || b == nil {
			return x
		}
		x.sent = float64(b.GossipOut-a.GossipOut+b.FileOut-a.FileOut) / s.SpanS
		x.received = float64(b.GossipIn-a.GossipIn+b.FileIn-a.FileIn) / s.SpanS
		x.core = float64(b.CPUUs-a.CPUUs) / 1e6 / s.SpanS
		x.memory = float64(b.RSS)
		return x
	}
	var base rates
	for _, h := range r.helpers {
		if h.Role == roleEmpty {
			base = of(h)
		}
	}
	s.Empty = Cost{Role: roleEmpty, Sent: base.sent, Received: base.received, Core: base.core, Memory: base.memory}
	var sent, received, core, memory []float64
	part := map[string]map[string][]float64{"sent": {}, "received": {}, "datagrams": {}}
	add := func(what, name string, x float64) { part[what][name] = append(part[what][name], x) }
	var alive []float64
	views := 0.0
	for _, h := range r.helpers {
		a, b := before[h].Look, after[h].Look
		if h.Role == roleEmpty || a == nil || b == nil {
			continue
		}
		x := of(h)
		x = rates{x.sent - base.sent, x.received - base.received, x.core - base.core, x.memory - base.memory}
		n := len(b.Agents)
		datagrams := 0.0
		for i, c := range b.Agents {
			was := a.Agents[i]
			for name, bytes := range c.Bytes {
				add("sent", name, float64(bytes-was.Bytes[name])/s.SpanS)
				add("datagrams", name, float64(c.Datagrams[name]-was.Datagrams[name])/s.SpanS)
				datagrams += float64(c.Datagrams[name]-was.Datagrams[name]) / s.SpanS
			}
			for name := range c.Out {
				add("sent", name, float64(c.Out[name]-was.Out[name])/s.SpanS)
				add("received", name, float64(c.In[name]-was.In[name])/s.SpanS)
			}
			if r.has(Discovery) {
				w, w0 := listAfter[r.helperConfig.Hosts[i]], listBefore[r.helperConfig.Hosts[i]]
				add("sent", Discovery, float64(w.In-w0.In)/s.SpanS)
				add("received", Discovery, float64(w.Out-w0.Out)/s.SpanS)
				s.Watches += float64(w.Asked-w0.Asked) / s.SpanS / float64(r.Agents)
			}
			if r.has(Members) {
				alive = append(alive, float64(c.Alive))
			}
			views += float64(c.Views-was.Views) / s.SpanS / float64(r.Agents)
		}
		if h.Role != "" {
			s.Alone = append(s.Alone, Cost{h.Role, x.sent, x.received, x.core, x.memory, datagrams})
			continue
		}
		for range n { // each agent counts once in the mean
			sent, received = append(sent, x.sent/float64(n)), append(received, x.received/float64(n))
			core, memory = append(core, x.core/float64(n)), append(memory, x.memory/float64(n))
		}
	}
	s.Sent, s.Received, s.Core, s.Memory = distribution(sent), distribution(received), distribution(core), distribution(memory)
	s.Views, s.Alive = views, distribution(alive)
	to := func(what string) map[string]Distribution {
		out := map[string]Distribution{}
		for name, x := range part[what] {
			out[name] = distribution(x)
		}
		return out
	}
	s.PartSent, s.PartReceived, s.PartDatagrams = to("sent"), to("received"), to("datagrams")
}

// processUsage is what a control machine's process has taken so far.
type processUsage struct {
	CPU     time.Duration
	Memory  int64
	In, Out int64 // bytes of its read and write calls: streams, and its files where the log grows
}

// ticks are of 10 ms in /proc/PID/stat, on Linux for its programs.
const clockTick = 10 * time.Millisecond

// readProcessUsage reads /proc of a process of this run.
func readProcessUsage(pid int) (m processUsage) {
	dir := fmt.Sprintf("/proc/%d/", pid)
	if stat, err := os.ReadFile(dir + "stat"); err == nil {
		_, rest, _ := strings.Cut(string(stat), ") ")
		if f := strings.Fields(rest); len(f) > 12 {
			user, _ := strconv.ParseInt(f[11], 10, 64)
			system, _ := strconv.ParseInt(f[12], 10, 64)
			m.CPU = time.Duration(user+system) * clockTick
		}
	}
	io := procFields(dir + "io")
	m.In, m.Out, m.Memory = io["rchar"], io["wchar"], procFields(dir + "status")["VmRSS"]<<10
	return m
}

func (m processUsage) since(was processUsage, span float64, name string) Cost {
	return Cost{Role: name, Sent: float64(m.Out-was.Out) / span, Received: float64(m.In-was.In) / span,
		Core: (m.CPU - was.CPU).Seconds() / span, Memory: float64(m.Memory)}
}

// cpuUse is what the machine's cores and the measurement's own process have worked so far.
type cpuUse struct {
	at       time.Time
	all, own time.Duration
}

func readCPUUse() cpuUse {
	b := cpuUse{at: time.Now(), own: readProcessUsage(os.Getpid()).CPU}
	stat, _ := os.ReadFile("/proc/stat")
	first, _, _ := strings.Cut(string(stat), "\n")
	for i, f := range strings.Fields(first) {
		if i > 0 && i < 8 && i != 4 && i != 5 { // all but idle and waiting for a disk
			n, _ := strconv.ParseInt(f, 10, 64)
			b.all += time.Duration(n) * clockTick
		}
	}
	return b
}

// describeSince words what was worked since then: where nearly all cores are, times are the machine's.
func (b cpuUse) describeSince() string {
	now := readCPUUse()
	took := now.at.Sub(b.at).Seconds()
	return fmt.Sprintf("(%.1f s) the machine worked on %.1f of its %d cores, of that the measurement's own process (proxies, the list, setup servers) %.2f",
		took, (now.all-b.all).Seconds()/took, runtime.NumCPU(), (now.own-b.own).Seconds()/took)
}

// The budgets of control for an agent.
const (
	BudgetCore   = 0.01
	BudgetMemory = 64 << 20
	BudgetBytes  = 20_000
)

// Legend says what the figures are of.
const Legend = `# Three figures are mean / p99 / largest. Bytes are those in datagrams and streams, without the headers of UDP, TCP and IP.
# "An agent among many": of each helper process all that it sent and received (memberlist's counters of datagrams, the
# process's read and write calls for streams), its time by getrusage and its RSS at the span's end, the empty process's
# taken off, divided by its agents; p99 and largest are over processes. "By agent": discovery counted at the list, config
# by the watcher, both ways; of members, spread and zones the datagrams that an agent sent, without its streams.
# "Alone": a process of one agent, or a control machine's (/proc: files where its log grows are in its bytes).
# An agent with zones and no callers looks at two setup servers of its zone a second; that is in its figures.`

// Print words a size.
func (s Result) Print(out io.Writer) {
	skew := ""
	if s.Skew {
		skew = ", one service with a third"
	}
	fmt.Fprintf(out, "\n## %d agents, %s, by %s, %d services%s, delay %v to %v each way between regions, %d processes, span %.1f s after %v of warm-up\n",
		s.Agents, strings.Join(s.Parts, "+"), s.By, s.Services, skew, s.Delay[0], s.Delay[1], s.Processes, s.SpanS, s.Warm)
	if s.Err != "" {
		fmt.Fprintf(out, "ENDED BOUNDED: %s\n", s.Err)
	}
	if s.SpanS > 0 {
		fmt.Fprintf(out, "an agent among many: sent %s B/s, received %s B/s, %s %% of a core, %s KB\n",
			formatDistribution(s.Sent, 1), formatDistribution(s.Received, 1), formatDistribution(s.Core, 100), formatDistribution(s.Memory, 1.0/1024))
		for _, p := range s.Parts {
			d := s.PartSent[p]
			fmt.Fprintf(out, "  %s by agent: sent %s B/s", p, formatDistribution(d, 1))
			if d, ok := s.PartReceived[p]; ok {
				fmt.Fprintf(out, ", received %s B/s", formatDistribution(d, 1))
			}
			if d, ok := s.PartDatagrams[p]; ok {
				fmt.Fprintf(out, " in datagrams, %s datagrams/s", formatDistribution(d, 1))
			}
			fmt.Fprintln(out)
		}
		for _, c := range append(s.Alone, s.Machines...) {
			fmt.Fprintf(out, "  alone, %s: sent %.0f B/s, received %.0f B/s, %.2f %% of a core, %.0f KB\n", c.Role, c.Sent, c.Received, 100*c.Core, c.Memory/1024)
		}
		fmt.Fprintf(out, "  taken off, the empty process: sent %.0f B/s, received %.0f B/s, %.2f %% of a core, %.0f KB\n", s.Empty.Sent, s.Empty.Received, 100*s.Empty.Core, s.Empty.Memory/1024)
		if s.Watches > 0 {
			fmt.Fprintf(out, "  watches of the list asked: %.2f an agent a second\n", s.Watches)
		}
		if s.Views > 0 {
			fmt.Fprintf(out, "  views heard: %.2f an agent a second, of 2 summaries sent\n", s.Views)
		}
		if s.Alive.Max > 0 {
			fmt.Fprintf(out, "  thought alive at the span's end: mean %.1f, most %.0f\n", s.Alive.Mean, s.Alive.Max)
		}
	}
	for _, k := range s.Knew {
		fmt.Fprintf(out, "  %s\n", k)
	}
	for _, n := range s.Notes {
		fmt.Fprintf(out, "  note: %s\n", n)
	}
}

// formatDistribution is mean / p99 / max.
func formatDistribution(d Distribution, by float64) string {
	return fmt.Sprintf("%.4g / %.4g / %.4g", by*d.Mean, by*d.P99, by*d.Max)
}

// Fit is a line through a figure over the sizes.
type Fit struct {
	What             string
	Sizes, Values    []float64
	Base, Slope      float64 // value = Base + Slope * agents
	R2, Residual     float64 // the largest deviation of a measured value from the line
	Target, AtTarget float64
	Measured         bool // the target is one of the sizes, and AtTarget was measured
	Budget           float64
}

// FitLine fits a line by least squares.
func FitLine(what string, sizes, values []float64, target, budget float64) Fit {
	f := Fit{What: what, Sizes: sizes, Values: values, Target: target, Budget: budget}
	f.Base, f.Slope = stat.LinearRegression(sizes, values, nil, false)
	f.R2 = stat.RSquared(sizes, values, nil, f.Base, f.Slope)
	for i, x := range sizes {
		f.Residual = max(f.Residual, math.Abs(values[i]-f.Base-f.Slope*x))
	}
	f.AtTarget = f.Base + f.Slope*target
	if i := slices.Index(sizes, target); i >= 0 {
		f.AtTarget, f.Measured = values[i], true
	}
	return f
}

func (f Fit) String() string {
	how := fmt.Sprintf("at %.0f measured %.4g", f.Target, f.AtTarget)
	if !f.Measured {
		how = fmt.Sprintf("at %.0f EXTRAPOLATED %.4g, past the largest size run (%.0f)", f.Target, f.AtTarget, slices.Max(f.Sizes))
	}
	text := fmt.Sprintf("%s: %.4g + %.4g a further agent, largest deviation %.3g, r2 %.3f; %s", f.What, f.Base, f.Slope, f.Residual, f.R2, how)
	if f.Budget > 0 {
		verdict := "within"
		if f.AtTarget > f.Budget {
			verdict = "OVER"
		}
		text += fmt.Sprintf(", %s the budget of %.4g", verdict, f.Budget)
	}
	return text
}

// Fits fits the figures of an agent, of those alone and of the control machines over the sizes.
func Fits(sizes []Result, target int) (out []Fit) {
	values := map[string]map[float64]float64{}
	budgets := map[string]float64{}
	var order []string
	put := func(what string, budget float64, n int, x float64) {
		if values[what] == nil {
			values[what] = map[float64]float64{}
			order = append(order, what)
		}
		values[what][float64(n)] = max(values[what][float64(n)], x)
		budgets[what] = budget
	}
	for _, s := range sizes {
		if s.SpanS == 0 {
			continue
		}
		put("an agent sends and receives, B/s", BudgetBytes, s.Agents, s.Sent.Mean+s.Received.Mean)
		put("an agent's share of a core", BudgetCore, s.Agents, s.Core.Mean)
		put("an agent's memory, bytes", BudgetMemory, s.Agents, s.Memory.Mean)
		for _, c := range s.Alone { // of several in a role the dearest
			put("alone, "+c.Role+": B/s both ways", BudgetBytes, s.Agents, c.Sent+c.Received)
			put("alone, "+c.Role+": share of a core", BudgetCore, s.Agents, c.Core)
			put("alone, "+c.Role+": memory, bytes", BudgetMemory, s.Agents, c.Memory)
		}
		for _, c := range s.Machines {
			put("a control machine (the dearest): B/s both ways", 0, s.Agents, c.Sent+c.Received)
			put("a control machine (the dearest): share of a core", 0, s.Agents, c.Core)
			put("a control machine (the dearest): memory, bytes", 0, s.Agents, c.Memory)
		}
	}
	for _, what := range order {
		var x, y []float64
		for _, s := range sizes {
			if v, ok := values[what][float64(s.Agents)]; ok && !slices.Contains(x, float64(s.Agents)) {
				x, y = append(x, float64(s.Agents)), append(y, v)
			}
		}
		if len(x) > 1 {
			out = append(out, FitLine(what, x, y, float64(target), budgets[what]))
		}
	}
	return out
}
