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

// Path measures chains at one rate: with agents and without them in turn, several rounds.
type Path struct {
	Bin, Dir   string
	Lengths    []int
	Rate       float64 // calls a second, which is what each agent of the chain takes
	Rounds     int
	Warm, Span time.Duration // of each play
	Seed       uint64
}

// pair is the same chain with and without agents, both up.
type pair struct {
	n            int
	with, direct *chain
}

// side is the plays of one side of a pair, added up.
type side struct {
	result
}

func newSide() *side {
	return &side{result{latency: newHistogram(), late: newHistogram(), hops: newHistogram()}}
}

func (s *side) add(r result) {
	s.asked, s.answered, s.refused, s.lost = s.asked+r.asked, s.answered+r.answered, s.refused+r.refused, s.lost+r.lost
	s.took, s.processor = s.took+r.took, s.processor+r.processor
	s.latency.Merge(r.latency)
	s.late.Merge(r.late)
	s.hops.Merge(r.hops)
}

func (r *rig) pair(ctx context.Context, n int) (*pair, error) {
	p := &pair{n: n}
	var err error
	if p.with, err = r.chain(ctx, n, true); err != nil {
		return nil, err
	}
	if p.direct, err = r.chain(ctx, n, false); err != nil {
		p.with.close()
		return nil, err
	}
	return p, nil
}

func (p *pair) close() { p.with.close(); p.direct.close() }

// round plays both sides once, in the order asked for. idle is what the agents had of processors
// while the calls went past them.
func (p *pair) round(ctx context.Context, l load, directFirst bool) (with, direct result, idle float64, err error) {
	for i := range 2 {
		if (i == 0) != directFirst {
			with, err = p.with.play(ctx, l)
		} else {
			var before, after time.Duration
			before, _ = p.with.processor()
			began := time.Now()
			direct, err = p.direct.play(ctx, l)
			after, _ = p.with.processor()
			idle = (after - before).Seconds() / time.Since(began).Seconds()
		}
		if err != nil {
			return with, direct, idle, err
		}
	}
	return with, direct, idle, firstError(with.err(), direct.err())
}

// quietMost is the callers' own lateness, 99th percentile, up to which a play is quiet: the machine
// had processors to spare when calls were due. It says nothing of how the calls went.
const quietMost = 500 * time.Microsecond

func (r result) quiet() bool { return time.Duration(r.late.ValueAtPercentile(99)) <= quietMost }

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// quantiles that are told, in percent.
var quantiles = []float64{50, 99, 99.9}

// Run plays the rounds and tells of each chain, and of the lines through all of them.
func (m Path) Run(ctx context.Context, out io.Writer) error {
	r, err := newRig(m.Bin, m.Dir)
	if err != nil {
		return err
	}
	defer r.close()
	type measured struct {
		*pair
		with, direct *side
		still        [2]*side // the same, of quiet plays alone
		plays        [2]int   // how many those are
		rounds       [][2]result
		idle         float64
	}
	var all []*measured
	for _, n := range m.Lengths {
		p, err := r.pair(ctx, n)
		if err != nil {
			return err
		}
		defer p.close()
		all = append(all, &measured{pair: p, with: newSide(), direct: newSide(), still: [2]*side{newSide(), newSide()}})
	}
	fmt.Fprintf(out, "%g calls a second, Poisson, through each chain; %d rounds of %v with agents and %v without (after %v of warm-up each), in turn\n",
		m.Rate, m.Rounds, m.Span, m.Span, m.Warm)
	fmt.Fprintf(out, "a play is quiet where p99 of the callers' own lateness is within %v: the machine is shared\n", quietMost)
	fmt.Fprintln(out, "latencies in µs from the moment a call was due; a hop: from placing a call to its answer, without the time below")
	for i := range m.Rounds {
		for _, c := range all {
			l := load{rate: m.Rate, warm: m.Warm, span: m.Span, seed: m.Seed + uint64(i)}
			with, direct, idle, err := c.round(ctx, l, i%2 == 1)
			if err != nil {
				return err
			}
			c.with.add(with)
			c.direct.add(direct)
			for i, r := range []result{with, direct} {
				if r.quiet() {
					c.still[i].add(r)
					c.plays[i]++
				}
			}
			c.rounds = append(c.rounds, [2]result{with, direct})
			c.idle += idle / float64(m.Rounds)
		}
	}
	var lengths []float64
	added := map[string][]float64{}
	for _, c := range all {
		fmt.Fprintf(out, "\nchain of %d\n", c.n)
		fmt.Fprintf(out, "  %-12s %6s %6s %5s %5s %8s %8s %8s %8s %8s | callers late p50 %s\n", "", "calls", "answ.", "ref.", "lost", "mean", "p50", "p99", "p99.9", "max", "p99 max")
		tell(out, "with agents", c.with)
		tell(out, "direct", c.direct)
		compare(out, "added", c.with.latency, c.direct.latency, 1)
		if c.n > 1 {
			compare(out, "added / hop", c.with.latency, c.direct.latency, float64(c.n))
		}
		hops(out, "hop, agent", c.with.hops)
		hops(out, "hop, direct", c.direct.hops)
		compare(out, "hop added", c.with.hops, c.direct.hops, 1)
		if c.plays[0] > 0 && c.plays[1] > 0 {
			fmt.Fprintf(out, "  quiet plays: %d with agents, %d direct\n", c.plays[0], c.plays[1])
			tell(out, "with agents", c.still[0])
			tell(out, "direct", c.still[1])
			compare(out, "added", c.still[0].latency, c.still[1].latency, 1)
			hops(out, "hop, agent", c.still[0].hops)
			hops(out, "hop, direct", c.still[1].hops)
			compare(out, "hop added", c.still[0].hops, c.still[1].hops, 1)
		}
		for _, q := range quantiles[:2] {
			var diffs, ratios []float64
			for _, both := range c.rounds {
				a, b := both[0].latency.ValueAtPercentile(q), both[1].latency.ValueAtPercentile(q)
				diffs, ratios = append(diffs, float64(a-b)/1e3), append(ratios, float64(a)/float64(b))
			}
			fmt.Fprintf(out, "  rounds, added p%g:%s; ratios:%s\n", q, list(diffs, "%.0f"), list(ratios, "%.2f"))
			name := fmt.Sprintf("p%g", q)
			added[name] = append(added[name], float64(c.with.latency.ValueAtPercentile(q)-c.direct.latency.ValueAtPercentile(q))/1e3)
		}
		added["mean"] = append(added["mean"], (c.with.latency.Mean()-c.direct.latency.Mean())/1e3)
		lengths = append(lengths, float64(c.n))
		fmt.Fprintf(out, "  processor time: %s; idle agents %.2f ms a second each\n", perCall(c.with.result, c.n, c.idle), 1e3*c.idle/float64(c.n))
	}
	if len(lengths) > 1 {
		fmt.Fprintln(out, "\nlines through the chains: added µs = a + b × agents")
		for _, name := range []string{"mean", "p50", "p99"} {
			fmt.Fprintf(out, "  %-5s %s\n", name, fit(lengths, added[name]))
		}
	}
	return nil
}

// perCall words the agents' processor time, with what they take idle and without.
func perCall(r result, n int, idle float64) string {
	calls := float64(max(r.asked*n, 1))
	whole := float64(r.processor.Microseconds())
	return fmt.Sprintf("%.0f µs a call and agent, %.0f without what idle agents take (%v in all)",
		whole/calls, (whole-1e6*idle*r.took.Seconds())/calls, r.processor)
}

func tell(out io.Writer, name string, s *side) {
	h := s.latency
	fmt.Fprintf(out, "  %-12s %6d %6d %5d %5d %8.0f %8s %8s %8s %8s | %s %s %s\n", name, s.asked, s.answered, s.refused, s.lost, h.Mean()/1e3,
		us(h.ValueAtPercentile(50)), us(h.ValueAtPercentile(99)), us(h.ValueAtPercentile(99.9)), us(h.Max()),
		us(s.late.ValueAtPercentile(50)), us(s.late.ValueAtPercentile(99)), us(s.late.Max()))
}

func hops(out io.Writer, name string, h *hdrhistogram.Histogram) {
	fmt.Fprintf(out, "  %-12s %6d %6s %5s %5s %8.0f %8s %8s %8s %8s\n", name, h.TotalCount(), "", "", "", h.Mean()/1e3,
		us(h.ValueAtPercentile(50)), us(h.ValueAtPercentile(99)), us(h.ValueAtPercentile(99.9)), us(h.Max()))
}

// compare tells what the agents added: the difference of the means and quantiles, over so many
// hops, and the ratio.
func compare(out io.Writer, name string, a, b *hdrhistogram.Histogram, over float64) {
	fmt.Fprintf(out, "  %-12s %25s %8.0f", name, "", (a.Mean()-b.Mean())/1e3/over)
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
	p, err := r.pair(ctx, n)
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
		with, direct, idle, err := p.round(ctx, load{rate: rate, warm: m.Warm, span: span, seed: m.Seed + uint64(i+1)}, (i%2 == 0) != again)
		if err != nil {
			return err
		}
		after, _ := processorTime(os.Getpid())
		a, d := with.latency, direct.latency
		if i < 0 {
			base = with
		}
		why := broken(with, base)
		used := with.processor.Seconds() / with.took.Seconds()
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
