package chainlab

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat"
)

// Path measures chains at one rate: with agents, with bare relays and without either in turn,
// several rounds.
type Path struct {
	Bin, Dir   string
	Former     string // an earlier program, played too; "": none
	Lengths    []int
	Rate       float64 // calls a second, which is what each agent of the chain takes
	Rounds     int
	Warm, Span time.Duration // of each play
	Seed       uint64
}

// set is the same chain in several ways, all up.
type set struct {
	n      int
	ways   []way
	chains [wayCount]*chain
}

// side is the plays of one way, added up.
type side struct {
	result
	idle  work          // while calls went past it,
	still time.Duration // for so long
}

func newSide() *side {
	return &side{result: result{latency: newHistogram(), late: newHistogram(), hops: newHistogram()}}
}

func (s *side) add(r result) {
	s.asked, s.answered, s.refused, s.lost = s.asked+r.asked, s.answered+r.answered, s.refused+r.refused, s.lost+r.lost
	s.took, s.work = s.took+r.took, s.work.plus(r.work, 1)
	s.latency.Merge(r.latency)
	s.late.Merge(r.late)
	s.hops.Merge(r.hops)
}

func (r *rig) set(ctx context.Context, n int, ways ...way) (*set, error) {
	s := &set{n: n, ways: ways}
	for _, w := range ways {
		var err error
		if s.chains[w], err = r.chain(ctx, n, w); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

func (s *set) close() {
	for _, c := range s.chains {
		if c != nil {
			c.close()
		}
	}
}

// played is what came of one round, by way.
type played struct {
	results [wayCount]result
	idle    [wayCount]work // of those that calls went past, while none was in between
	still   time.Duration
}

// round plays each way once, from the turn-th on.
func (s *set) round(ctx context.Context, l load, turn int) (p played, err error) {
	for i := range s.ways {
		w := s.ways[(turn+i)%len(s.ways)]
		if w != direct {
			if p.results[w], err = s.chains[w].play(ctx, l); err != nil {
				return p, err
			}
			continue
		}
		began := time.Now()
		if err := s.idle(&p, -1); err != nil {
			return p, err
		}
		if p.results[w], err = s.chains[w].play(ctx, l); err != nil {
			return p, err
		}
		if err := s.idle(&p, 1); err != nil {
			return p, err
		}
		p.still = time.Since(began)
	}
	for _, r := range p.results {
		if err := r.err(); err != nil {
			return p, err
		}
	}
	return p, nil
}

// idle adds what has been done so far, so many times, to what was done idle.
func (s *set) idle(p *played, times int64) error {
	for _, w := range s.ways {
		did, err := s.chains[w].work()
		if err != nil {
			return err
		}
		p.idle[w] = p.idle[w].plus(did, times)
	}
	return nil
}

// quietMost is the callers' own lateness, 99th percentile, up to which a play is quiet: the machine
// had processors to spare when calls were due. It says nothing of how the calls went.
const quietMost = 500 * time.Microsecond

func (r result) quiet() bool { return time.Duration(r.late.ValueAtPercentile(99)) <= quietMost }

// quantiles that are told, in percent.
var quantiles = []float64{50, 99, 99.9}

// measured is what came of one chain over all rounds, by way.
type measured struct {
	*set
	sides  [wayCount]*side
	quiet  [wayCount]*side // the same, of quiet plays alone
	plays  [wayCount]int   // how many those are
	rounds []played
}

func (m *measured) add(p played) {
	m.rounds = append(m.rounds, p)
	for _, w := range m.ways {
		r := p.results[w]
		m.sides[w].add(r)
		m.sides[w].idle = m.sides[w].idle.plus(p.idle[w], 1)
		m.sides[w].still += p.still
		if r.quiet() {
			m.quiet[w].add(r)
			m.plays[w]++
		}
	}
}

// contrasts are the differences that are told, of those ways that were played.
var contrasts = []struct {
	name string
	a, b way
}{
	{"added", agents, direct},
	{"by relays", relays, direct},
	{"ours", agents, relays}, // what the agents add beyond any process in between
	{"ours, former", former, relays},
	{"mended", agents, former},
}

// Run plays the rounds and tells of each chain, and of the lines through all of them.
func (m Path) Run(ctx context.Context, out io.Writer) error {
	r, err := newRig(m.Bin, m.Dir)
	if err != nil {
		return err
	}
	defer r.close()
	ways := []way{agents, relays, direct}
	if m.Former != "" {
		r.former, ways = m.Former, []way{agents, former, relays, direct}
	}
	var all []*measured
	for _, n := range m.Lengths {
		s, err := r.set(ctx, n, ways...)
		if err != nil {
			return err
		}
		defer s.close()
		c := &measured{set: s}
		for _, w := range ways {
			c.sides[w], c.quiet[w] = newSide(), newSide()
		}
		all = append(all, c)
	}
	fmt.Fprintf(out, "%g calls a second, Poisson, through each chain; %d rounds of %v each way: %v (after %v of warm-up each), in turn\n",
		m.Rate, m.Rounds, m.Span, ways, m.Warm)
	fmt.Fprintf(out, "a play is quiet where p99 of the callers' own lateness is within %v: the machine may be shared\n", quietMost)
	fmt.Fprintln(out, "latencies in µs from the moment a call was due; a hop: from placing a call to its answer, without the time below; added: agents less direct; by relays: relays less direct; ours: agents less relays")
	for i := range m.Rounds {
		for _, c := range all {
			p, err := c.round(ctx, load{rate: m.Rate, warm: m.Warm, span: m.Span, seed: m.Seed + uint64(i)}, i)
			if err != nil {
				return err
			}
			c.add(p)
		}
	}
	var lengths []float64
	added := map[string][]float64{}
	for _, c := range all {
		c.tell(out)
		a, b := c.sides[agents].latency, c.sides[direct].latency
		for _, q := range quantiles[:2] {
			name := fmt.Sprintf("p%g", q)
			added[name] = append(added[name], float64(a.ValueAtPercentile(q)-b.ValueAtPercentile(q))/1e3)
		}
		added["mean"] = append(added["mean"], (a.Mean()-b.Mean())/1e3)
		lengths = append(lengths, float64(c.n))
	}
	if len(lengths) > 1 {
		fmt.Fprintln(out, "\nlines through the chains: added µs = a + b × agents")
		for _, name := range []string{"mean", "p50", "p99"} {
			fmt.Fprintf(out, "  %-5s %s\n", name, fit(lengths, added[name]))
		}
	}
	return nil
}

// tell tells of one chain.
func (m *measured) tell(out io.Writer) {
	fmt.Fprintf(out, "\nchain of %d\n", m.n)
	fmt.Fprintf(out, "  %-16s %6s %6s %5s %5s %8s %8s %8s %8s %8s | callers late p50 %s\n", "", "calls", "answ.", "ref.", "lost", "mean", "p50", "p99", "p99.9", "max", "p99 max")
	m.tellSides(out, m.sides)
	quiet := true
	for _, w := range m.ways {
		quiet = quiet && m.plays[w] > 0
	}
	if quiet {
		fmt.Fprint(out, "  quiet plays:")
		for _, w := range m.ways {
			fmt.Fprintf(out, " %d of %d %v;", m.plays[w], len(m.rounds), w)
		}
		fmt.Fprintln(out)
		m.tellSides(out, m.quiet)
	}
	for _, q := range quantiles[:2] {
		for _, k := range contrasts {
			if m.sides[k.a] == nil || m.sides[k.b] == nil {
				continue
			}
			var diffs, ratios []float64
			for _, p := range m.rounds {
				a, b := p.results[k.a].latency.ValueAtPercentile(q), p.results[k.b].latency.ValueAtPercentile(q)
				diffs, ratios = append(diffs, float64(a-b)/1e3), append(ratios, float64(a)/float64(b))
			}
			fmt.Fprintf(out, "  rounds, %s p%g:%s; ratios:%s\n", k.name, q, list(diffs, "%.0f"), list(ratios, "%.2f"))
		}
	}
	fmt.Fprintln(out, "  of one process: processor time a call, and without what it takes idle; the same of its threads' wake-ups, reads and writes; a second idle")
	for _, w := range m.ways {
		if w != direct {
			fmt.Fprintf(out, "    %-12s %s\n", w, m.sides[w].spent(m.n))
		}
	}
}

func (m *measured) tellSides(out io.Writer, sides [wayCount]*side) {
	for _, w := range m.ways {
		tell(out, w.String(), sides[w])
	}
	differ := func(of string, n float64, h func(*side) *hdrhistogram.Histogram) {
		for _, k := range contrasts {
			if sides[k.a] != nil && sides[k.b] != nil {
				compare(out, k.name+of, h(sides[k.a]), h(sides[k.b]), n)
			}
		}
	}
	latencies := func(s *side) *hdrhistogram.Histogram { return s.latency }
	differ("", 1, latencies)
	if m.n > 1 {
		differ(" / hop", float64(m.n), latencies)
	}
	for _, w := range m.ways {
		hops(out, "hop, "+w.String(), sides[w].hops)
	}
	differ(", hop", 1, func(s *side) *hdrhistogram.Histogram { return s.hops })
}

// spent words what one of n processes did.
func (s *side) spent(n int) string {
	calls, seconds, still := float64(max(s.asked, 1)*n), s.took.Seconds()*float64(n), max(s.still.Seconds(), 1e-9)*float64(n)
	var b strings.Builder
	for _, f := range []struct {
		name        string
		whole, idle float64
	}{
		{"µs", s.work.processor.Seconds() * 1e6, s.idle.processor.Seconds() * 1e6 / still},
		{"wake-ups", float64(s.work.wakes), float64(s.idle.wakes) / still},
		{"reads", float64(s.work.reads), float64(s.idle.reads) / still},
		{"writes", float64(s.work.writes), float64(s.idle.writes) / still},
	} {
		fmt.Fprintf(&b, "%s %.1f, %.1f (%.1f idle); ", f.name, f.whole/calls, (f.whole-f.idle*seconds)/calls, f.idle)
	}
	return strings.TrimSuffix(b.String(), "; ")
}

func tell(out io.Writer, name string, s *side) {
	h := s.latency
	fmt.Fprintf(out, "  %-16s %6d %6d %5d %5d %8.0f %8s %8s %8s %8s | %s %s %s\n", name, s.asked, s.answered, s.refused, s.lost, h.Mean()/1e3,
		us(h.ValueAtPercentile(50)), us(h.ValueAtPercentile(99)), us(h.ValueAtPercentile(99.9)), us(h.Max()),
		us(s.late.ValueAtPercentile(50)), us(s.late.ValueAtPercentile(99)), us(s.late.Max()))
}

func hops(out io.Writer, name string, h *hdrhistogram.Histogram) {
	fmt.Fprintf(out, "  %-16s %6d %6s %5s %5s %8.0f %8s %8s %8s %8s\n", name, h.TotalCount(), "", "", "", h.Mean()/1e3,
		us(h.ValueAtPercentile(50)), us(h.ValueAtPercentile(99)), us(h.ValueAtPercentile(99.9)), us(h.Max()))
}

// compare tells what the agents added: the difference of the means and quantiles, over so many
// hops, and the ratio.
func compare(out io.Writer, name string, a, b *hdrhistogram.Histogram, over float64) {
	fmt.Fprintf(out, "  %-16s %25s %8.0f", name, "", (a.Mean()-b.Mean())/1e3/over)
	for _, q := range quantiles {
		fmt.Fprintf(out, " %8.0f", float64(a.ValueAtPercentile(q)-b.ValueAtPercentile(q))/1e3/over)
	}
	fmt.Fprintf(out, "          | ratios mean %.2f", a.Mean()/b.Mean())
	for _, q := range quantiles {
		fmt.Fprintf(out, " p%g %.2f", q, float64(a.ValueAtPercentile(q))/float64(max(b.ValueAtPercentile(q), 1)))
	}
	fmt.Fprintln(out)
}

func list(xs []float64, form string) string {
	var b strings.Builder
	for _, x := range xs {
		fmt.Fprintf(&b, " "+form, x)
	}
	return b.String()
}

// line is a least-squares line, and how far the points lie from it (root mean square).
type line struct{ a, b, off float64 }

func fitted(x, y []float64) line {
	var l line
	l.a, l.b = stat.LinearRegression(x, y, nil, false)
	for i := range x {
		d := y[i] - l.a - l.b*x[i]
		l.off += d * d / float64(len(x))
	}
	l.off = math.Sqrt(l.off)
	return l
}

func fit(x, y []float64) string {
	l := fitted(x, y)
	return fmt.Sprintf("a %.4g, b %.4g, residual %.3g (%d points)", l.a, l.b, l.off, len(x))
}

// Ramp raises the rate of each chain, one after the other, until one of its criteria breaks.
type Ramp struct {
	Bin, Dir   string
	Lengths    []int
	Base       float64 // calls a second that count as unloaded
	First      float64
	Factor     float64
	Steps      int           // most
	Warm, Span time.Duration // of each play
	Seed       uint64
}

// What breaks a rate.
const (
	slowMost = 5                // times the 99th percentile unloaded
	badMost  = 0.001            // of the calls refused or lost
	lateMost = time.Millisecond // the callers' own lateness, 99th percentile,
	lateRise = 3                // and times what it is unloaded: the machine is shared

	baseSpans = 5 // the unloaded play is so many times as long: its p99 needs the calls
)

// broken tells why a rate does not hold against the unloaded one; "": it does.
func broken(r, base result) string {
	late := max(lateMost, lateRise*time.Duration(base.late.ValueAtPercentile(99)))
	switch p99 := r.latency.ValueAtPercentile(99); {
	case float64(r.refused+r.lost) > badMost*float64(r.asked):
		return fmt.Sprintf("%d refused, %d lost of %d", r.refused, r.lost, r.asked)
	case time.Duration(r.late.ValueAtPercentile(99)) > late:
		return "callers run late"
	case p99 > slowMost*base.latency.ValueAtPercentile(99):
		return fmt.Sprintf("p99 over %d times the unloaded", slowMost)
	}
	return ""
}

// Run climbs each chain and tells of each step.
func (m Ramp) Run(ctx context.Context, out io.Writer) error {
	r, err := newRig(m.Bin, m.Dir)
	if err != nil {
		return err
	}
	defer r.close()
	fmt.Fprintf(out, "plays of %v after %v of warm-up, with agents and direct in turn; a rate breaks where p99 with agents passes %d times its p99 at %g/s, more than %g of the calls are refused or lost, or p99 of the callers' lateness passes %v and %d times its own at %g/s, twice in a row\n",
		m.Span, m.Warm, slowMost, m.Base, badMost, lateMost, lateRise, m.Base)
	for _, n := range m.Lengths {
		if err := m.climb(ctx, out, r, n); err != nil {
			return err
		}
	}
	return nil
}

func (m Ramp) climb(ctx context.Context, out io.Writer, r *rig, n int) error {
	p, err := r.set(ctx, n, agents, direct)
	if err != nil {
		return err
	}
	defer p.close()
	fmt.Fprintf(out, "\nchain of %d (µs; cores: of one agent, of all agents, of the laboratory's own process)\n", n)
	fmt.Fprintf(out, "  %7s %7s %6s | %7s %7s %7s | %7s %7s | %7s %7s %6s | %7s %7s | %5s %5s %5s | %6s %6s\n", "rate", "calls", "bad",
		"p50", "p99", "p99.9", "d.p50", "d.p99", "add p50", "add p99", "x p99", "/hop 50", "/hop 99", "agent", "all", "lab", "late99", "µs/call")
	var rates, p50s, p99s, cores []float64
	var base result
	best := 0.0
	again := false // the step before broke once
	for i := -1; i < m.Steps; i++ {
		rate, span := m.First*math.Pow(m.Factor, float64(i)), m.Span
		if i < 0 {
			rate, span = m.Base, baseSpans*m.Span
		}
		lab, _ := processorTime(os.Getpid())
		began := time.Now()
		turn := 0
		if (i%2 == 0) != again {
			turn = 1
		}
		both, err := p.round(ctx, load{rate: rate, warm: m.Warm, span: span, seed: m.Seed + uint64(i+1)}, turn)
		if err != nil {
			return err
		}
		after, _ := processorTime(os.Getpid())
		with, idle := both.results[agents], both.idle[agents].processor.Seconds()/both.still.Seconds()
		a, d := with.latency, both.results[direct].latency
		if i < 0 {
			base = with
		}
		why := broken(with, base)
		used := with.work.processor.Seconds() / with.took.Seconds()
		add50, add99 := float64(a.ValueAtPercentile(50)-d.ValueAtPercentile(50))/1e3, float64(a.ValueAtPercentile(99)-d.ValueAtPercentile(99))/1e3
		fmt.Fprintf(out, "  %7.0f %7d %6d | %7s %7s %7s | %7s %7s | %7.0f %7.0f %6.2f | %7.1f %7.1f | %5.2f %5.2f %5.2f | %6s %6.0f %s\n", rate, with.asked, with.refused+with.lost,
			us(a.ValueAtPercentile(50)), us(a.ValueAtPercentile(99)), us(a.ValueAtPercentile(99.9)), us(d.ValueAtPercentile(50)), us(d.ValueAtPercentile(99)),
			add50, add99, float64(a.ValueAtPercentile(99))/float64(d.ValueAtPercentile(99)), add50/float64(n), add99/float64(n),
			used/float64(n), used, (after-lab).Seconds()/time.Since(began).Seconds(), us(with.late.ValueAtPercentile(99)),
			1e6*(used-idle)/float64(n)/(float64(with.asked)/with.took.Seconds()), why)
		if why != "" && !again { // by chance, it may be: the machine has others on it
			again = true
			i--
			continue
		}
		if why != "" {
			break
		}
		again = false
		best = rate
		rates, p50s, p99s, cores = append(rates, rate), append(p50s, add50/float64(n)), append(p99s, add99/float64(n)), append(cores, used/float64(n))
	}
	fmt.Fprintf(out, "  highest rate that held: %.0f calls a second an agent\n", best)
	if len(rates) > 2 {
		fmt.Fprintf(out, "  added p50 a hop, µs = a + b × rate: %s\n", fit(rates, p50s))
		fmt.Fprintf(out, "  added p99 a hop, µs = a + b × rate: %s\n", fit(rates, p99s))
		fmt.Fprintf(out, "  cores of one agent = a + b × rate: %s\n", fit(rates, cores))
	}
	return nil
}
