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

// Path measures the latency of chains at one rate, in several rounds: with agents, with bare relays, and
// without either, in turn.
type Path struct {
	Bin, Dir     string
	Former       string // path of an earlier program to measure as well; "": none
	Lengths      []int
	Rate         float64 // calls per second through the chain, and so at each of its agents
	Rounds       int
	WarmUp, Span time.Duration // of each run
	Seed         uint64
}

// chainSet is a chain of one length in several variants, all running.
type chainSet struct {
	n        int
	variants []variant
	chains   [variantCount]*chain
}

// totals are the summed results of one variant.
type totals struct {
	result
	idleWork work          // work while only the direct variant had calls
	idleSpan time.Duration // duration of that time
}

func newTotals() *totals {
	return &totals{result: result{latency: newHistogram(), lateness: newHistogram(), hops: newHistogram()}}
}

func (s *totals) add(r result) {
	s.asked, s.answered, s.refused, s.lost = s.asked+r.asked, s.answered+r.answered, s.refused+r.refused, s.lost+r.lost
	s.took, s.work = s.took+r.took, s.work.addScaled(r.work, 1)
	s.latency.Merge(r.latency)
	s.lateness.Merge(r.lateness)
	s.hops.Merge(r.hops)
}

func (t *testbed) startChains(ctx context.Context, n int, variants ...variant) (*chainSet, error) {
	s := &chainSet{n: n, variants: variants}
	for _, v := range variants {
		var err error
		if s.chains[v], err = t.startChain(ctx, n, v); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

func (s *chainSet) close() {
	for _, c := range s.chains {
		if c != nil {
			c.close()
		}
	}
}

// roundResults are the results of one round, by variant.
type roundResults struct {
	results  [variantCount]result
	idleWork [variantCount]work // work while only the direct variant had calls
	idleSpan time.Duration
}

// runRound runs the load through each variant once, beginning with the variant at index turn.
func (s *chainSet) runRound(ctx context.Context, l load, turn int) (res roundResults, err error) {
	for i := range s.variants {
		v := s.variants[(turn+i)%len(s.variants)]
		if v != direct {
			if res.results[v], err = s.chains[v].runLoad(ctx, l); err != nil {
				return res, err
			}
			continue
		}
		began := time.Now()
		if err := s.addIdleWork(&res, -1); err != nil {
			return res, err
		}
		if res.results[v], err = s.chains[v].runLoad(ctx, l); err != nil {
			return res, err
		}
		if err := s.addIdleWork(&res, 1); err != nil {
			return res, err
		}
		res.idleSpan = time.Since(began)
	}
	for _, r := range res.results {
		if err := r.check(); err != nil {
			return res, err
		}
	}
	return res, nil
}

// addIdleWork adds times (1 or -1) the work that each variant has done so far to its idle work.
func (s *chainSet) addIdleWork(res *roundResults, times int64) error {
	for _, v := range s.variants {
		did, err := s.chains[v].totalWork()
		if err != nil {
			return err
		}
		res.idleWork[v] = res.idleWork[v].addScaled(did, times)
	}
	return nil
}

// maxQuietLateness is the largest 99th percentile of the callers' own lateness at which a run counts as
// quiet, which means that the machine had processors to spare when calls were due. It does not depend on
// how the calls went.
const maxQuietLateness = 500 * time.Microsecond

func (r result) isQuiet() bool {
	return time.Duration(r.lateness.ValueAtPercentile(99)) <= maxQuietLateness
}

// reportedQuantiles are the reported quantiles, in percent.
var reportedQuantiles = []float64{50, 99, 99.9}

// chainResults are the results of one chain over all rounds, by variant.
type chainResults struct {
	*chainSet
	totals      [variantCount]*totals
	quietTotals [variantCount]*totals // of quiet runs alone
	quietRuns   [variantCount]int     // number of quiet runs
	rounds      []roundResults
}

func (m *chainResults) add(res roundResults) {
	m.rounds = append(m.rounds, res)
	for _, v := range m.variants {
		r := res.results[v]
		m.totals[v].add(r)
		m.totals[v].idleWork = m.totals[v].idleWork.addScaled(res.idleWork[v], 1)
		m.totals[v].idleSpan += res.idleSpan
		if r.isQuiet() {
			m.quietTotals[v].add(r)
			m.quietRuns[v]++
		}
	}
}

// comparisons are the reported differences between two variants; those of variants that were not
// measured are skipped.
var comparisons = []struct {
	name string
	a, b variant
}{
	{"added", withAgents, direct},
	{"by relays", withRelays, direct},
	{"ours", withAgents, withRelays}, // what agents add beyond what any process in between adds
	{"ours, former", withFormer, withRelays},
	{"mended", withAgents, withFormer},
}

// Run measures the rounds and reports on each chain and on the lines fitted through all chains.
func (m Path) Run(ctx context.Context, out io.Writer) error {
	bed, err := newTestbed(m.Bin, m.Dir)
	if err != nil {
		return err
	}
	defer bed.close()
	variants := []variant{withAgents, withRelays, direct}
	if m.Former != "" {
		bed.former, variants = m.Former, []variant{withAgents, withFormer, withRelays, direct}
	}
	var all []*chainResults
	for _, n := range m.Lengths {
		chains, err := bed.startChains(ctx, n, variants...)
		if err != nil {
			return err
		}
		defer chains.close()
		results := &chainResults{chainSet: chains}
		for _, v := range variants {
			results.totals[v], results.quietTotals[v] = newTotals(), newTotals()
		}
		all = append(all, results)
	}
	fmt.Fprintf(out, "%g calls a second, Poisson, through each chain; %d rounds of %v each way: %v (after %v of warm-up each), in turn\n",
		m.Rate, m.Rounds, m.Span, variants, m.WarmUp)
	fmt.Fprintf(out, "a play is quiet where p99 of the callers' own lateness is within %v: the machine may be shared\n", maxQuietLateness)
	fmt.Fprintln(out, "latencies in µs from the moment a call was due; a hop: from placing a call to its answer, without the time below; added: agents less direct; by relays: relays less direct; ours: agents less relays")
	for i := range m.Rounds {
		for _, c := range all {
			res, err := c.runRound(ctx, load{rate: m.Rate, warmUp: m.WarmUp, span: m.Span, seed: m.Seed + uint64(i)}, i)
			if err != nil {
				return err
			}
			c.add(res)
		}
	}
	var lengths []float64
	added := map[string][]float64{}
	for _, c := range all {
		c.writeReport(out)
		with, without := c.totals[withAgents].latency, c.totals[direct].latency
		for _, q := range reportedQuantiles[:2] {
			name := fmt.Sprintf("p%g", q)
			added[name] = append(added[name], float64(with.ValueAtPercentile(q)-without.ValueAtPercentile(q))/1e3)
		}
		added["mean"] = append(added["mean"], (with.Mean()-without.Mean())/1e3)
		lengths = append(lengths, float64(c.n))
	}
	if len(lengths) > 1 {
		fmt.Fprintln(out, "\nlines through the chains: added µs = a + b × agents")
		for _, name := range []string{"mean", "p50", "p99"} {
			fmt.Fprintf(out, "  %-5s %s\n", name, formatFit(lengths, added[name]))
		}
	}
	return nil
}

// writeReport writes the report on one chain.
func (m *chainResults) writeReport(out io.Writer) {
	fmt.Fprintf(out, "\nchain of %d\n", m.n)
	fmt.Fprintf(out, "  %-16s %6s %6s %5s %5s %8s %8s %8s %8s %8s | callers late p50 %s\n", "", "calls", "answ.", "ref.", "lost", "mean", "p50", "p99", "p99.9", "max", "p99 max")
	m.printTotals(out, m.totals)
	quiet := true
	for _, v := range m.variants {
		quiet = quiet && m.quietRuns[v] > 0
	}
	if quiet {
		fmt.Fprint(out, "  quiet plays:")
		for _, v := range m.variants {
			fmt.Fprintf(out, " %d of %d %v;", m.quietRuns[v], len(m.rounds), v)
		}
		fmt.Fprintln(out)
		m.printTotals(out, m.quietTotals)
	}
	for _, q := range reportedQuantiles[:2] {
		for _, comparison := range comparisons {
			if m.totals[comparison.a] == nil || m.totals[comparison.b] == nil {
				continue
			}
			var diffs, ratios []float64
			for _, round := range m.rounds {
				a, b := round.results[comparison.a].latency.ValueAtPercentile(q), round.results[comparison.b].latency.ValueAtPercentile(q)
				diffs, ratios = append(diffs, float64(a-b)/1e3), append(ratios, float64(a)/float64(b))
			}
			fmt.Fprintf(out, "  rounds, %s p%g:%s; ratios:%s\n", comparison.name, q, formatList(diffs, "%.0f"), formatList(ratios, "%.2f"))
		}
	}
	fmt.Fprintln(out, "  of one process: processor time a call, and without what it takes idle; the same of its threads' wake-ups, reads and writes; a second idle")
	for _, v := range m.variants {
		if v != direct {
			fmt.Fprintf(out, "    %-12s %s\n", v, m.totals[v].formatWork(m.n))
		}
	}
}

func (m *chainResults) printTotals(out io.Writer, byVariant [variantCount]*totals) {
	for _, v := range m.variants {
		printRow(out, v.String(), byVariant[v])
	}
	printDifferences := func(of string, n float64, h func(*totals) *hdrhistogram.Histogram) {
		for _, comparison := range comparisons {
			if byVariant[comparison.a] != nil && byVariant[comparison.b] != nil {
				printComparison(out, comparison.name+of, h(byVariant[comparison.a]), h(byVariant[comparison.b]), n)
			}
		}
	}
	latencies := func(s *totals) *hdrhistogram.Histogram { return s.latency }
	printDifferences("", 1, latencies)
	if m.n > 1 {
		printDifferences(" / hop", float64(m.n), latencies)
	}
	for _, v := range m.variants {
		printHopRow(out, "hop, "+v.String(), byVariant[v].hops)
	}
	printDifferences(", hop", 1, func(s *totals) *hdrhistogram.Histogram { return s.hops })
}

// formatWork formats the work per call of one of n processes.
func (s *totals) formatWork(n int) string {
	calls, seconds, idleSeconds := float64(max(s.asked, 1)*n), s.took.Seconds()*float64(n), max(s.idleSpan.Seconds(), 1e-9)*float64(n)
	var b strings.Builder
	for _, f := range []struct {
		name        string
		total, idle float64
	}{
		{"µs", s.work.processor.Seconds() * 1e6, s.idleWork.processor.Seconds() * 1e6 / idleSeconds},
		{"wake-ups", float64(s.work.wakeUps), float64(s.idleWork.wakeUps) / idleSeconds},
		{"reads", float64(s.work.reads), float64(s.idleWork.reads) / idleSeconds},
		{"writes", float64(s.work.writes), float64(s.idleWork.writes) / idleSeconds},
	} {
		fmt.Fprintf(&b, "%s %.1f, %.1f (%.1f idle); ", f.name, f.total/calls, (f.total-f.idle*seconds)/calls, f.idle)
	}
	return strings.TrimSuffix(b.String(), "; ")
}

func printRow(out io.Writer, name string, s *totals) {
	h := s.latency
	fmt.Fprintf(out, "  %-16s %6d %6d %5d %5d %8.0f %8s %8s %8s %8s | %s %s %s\n", name, s.asked, s.answered, s.refused, s.lost, h.Mean()/1e3,
		formatMicros(h.ValueAtPercentile(50)), formatMicros(h.ValueAtPercentile(99)), formatMicros(h.ValueAtPercentile(99.9)), formatMicros(h.Max()),
		formatMicros(s.lateness.ValueAtPercentile(50)), formatMicros(s.lateness.ValueAtPercentile(99)), formatMicros(s.lateness.Max()))
}

func printHopRow(out io.Writer, name string, h *hdrhistogram.Histogram) {
	fmt.Fprintf(out, "  %-16s %6d %6s %5s %5s %8.0f %8s %8s %8s %8s\n", name, h.TotalCount(), "", "", "", h.Mean()/1e3,
		formatMicros(h.ValueAtPercentile(50)), formatMicros(h.ValueAtPercentile(99)), formatMicros(h.ValueAtPercentile(99.9)), formatMicros(h.Max()))
}

// printComparison writes the differences of the means and quantiles of a and b, divided by over, and
// their ratios.
func printComparison(out io.Writer, name string, a, b *hdrhistogram.Histogram, over float64) {
	fmt.Fprintf(out, "  %-16s %25s %8.0f", name, "", (a.Mean()-b.Mean())/1e3/over)
	for _, q := range reportedQuantiles {
		fmt.Fprintf(out, " %8.0f", float64(a.ValueAtPercentile(q)-b.ValueAtPercentile(q))/1e3/over)
	}
	fmt.Fprintf(out, "          | ratios mean %.2f", a.Mean()/b.Mean())
	for _, q := range reportedQuantiles {
		fmt.Fprintf(out, " p%g %.2f", q, float64(a.ValueAtPercentile(q))/float64(max(b.ValueAtPercentile(q), 1)))
	}
	fmt.Fprintln(out)
}

func formatList(xs []float64, form string) string {
	var b strings.Builder
	for _, x := range xs {
		fmt.Fprintf(&b, " "+form, x)
	}
	return b.String()
}

// line is a least-squares line a + b x, with the root mean square distance of the points from it.
type line struct{ a, b, residual float64 }

func fitLine(x, y []float64) line {
	var l line
	l.a, l.b = stat.LinearRegression(x, y, nil, false)
	for i := range x {
		d := y[i] - l.a - l.b*x[i]
		l.residual += d * d / float64(len(x))
	}
	l.residual = math.Sqrt(l.residual)
	return l
}

func formatFit(x, y []float64) string {
	l := fitLine(x, y)
	return fmt.Sprintf("a %.4g, b %.4g, residual %.3g (%d points)", l.a, l.b, l.residual, len(x))
}

// Ramp raises the rate of calls through each chain in turn until a criterion fails.
type Ramp struct {
	Bin, Dir     string
	Lengths      []int
	Base         float64 // rate that counts as unloaded, in calls per second
	First        float64
	Factor       float64
	Steps        int           // maximum number of rates
	WarmUp, Span time.Duration // of each run
	Seed         uint64
}

// Criteria that end a ramp. Late callers end it because the machine may be shared: the results would then
// not show what the chain can do.
const (
	maxSlowdown     = 5                // 99th percentile of the latency, as a multiple of the unloaded one
	maxFailedShare  = 0.001            // share of refused and lost calls
	maxLateness     = time.Millisecond // 99th percentile of the callers' own lateness
	maxLatenessRise = 3                // the same, as a multiple of the unloaded one; the larger bound applies

	// Factor on the span of the unloaded run, whose low rate gives too few calls for its p99 otherwise.
	baseSpanFactor = 5
)

// failureReason returns which criterion a run fails in comparison with the unloaded run, or "".
func failureReason(r, base result) string {
	late := max(maxLateness, maxLatenessRise*time.Duration(base.lateness.ValueAtPercentile(99)))
	switch p99 := r.latency.ValueAtPercentile(99); {
	case float64(r.refused+r.lost) > maxFailedShare*float64(r.asked):
		return fmt.Sprintf("%d refused, %d lost of %d", r.refused, r.lost, r.asked)
	case time.Duration(r.lateness.ValueAtPercentile(99)) > late:
		return "callers run late"
	case p99 > maxSlowdown*base.latency.ValueAtPercentile(99):
		return fmt.Sprintf("p99 over %d times the unloaded", maxSlowdown)
	}
	return ""
}

// Run ramps each chain and reports every step.
func (m Ramp) Run(ctx context.Context, out io.Writer) error {
	r, err := newTestbed(m.Bin, m.Dir)
	if err != nil {
		return err
	}
	defer r.close()
	fmt.Fprintf(out, "plays of %v after %v of warm-up, with agents and direct in turn; a rate breaks where p99 with agents passes %d times its p99 at %g/s, more than %g of the calls are refused or lost, or p99 of the callers' lateness passes %v and %d times its own at %g/s, twice in a row\n",
		m.Span, m.WarmUp, maxSlowdown, m.Base, maxFailedShare, maxLateness, maxLatenessRise, m.Base)
	for _, n := range m.Lengths {
		if err := m.rampChain(ctx, out, r, n); err != nil {
			return err
		}
	}
	return nil
}

func (m Ramp) rampChain(ctx context.Context, out io.Writer, bed *testbed, n int) error {
	chains, err := bed.startChains(ctx, n, withAgents, direct)
	if err != nil {
		return err
	}
	defer chains.close()
	fmt.Fprintf(out, "\nchain of %d (µs; cores: of one agent, of all agents, of the laboratory's own process)\n", n)
	fmt.Fprintf(out, "  %7s %7s %6s | %7s %7s %7s | %7s %7s | %7s %7s %6s | %7s %7s | %5s %5s %5s | %6s %6s\n", "rate", "calls", "bad",
		"p50", "p99", "p99.9", "d.p50", "d.p99", "add p50", "add p99", "x p99", "/hop 50", "/hop 99", "agent", "all", "lab", "late99", "µs/call")
	var rates, p50s, p99s, cores []float64
	var base result
	best := 0.0
	repeated := false // the current rate has failed once
	for i := -1; i < m.Steps; i++ {
		rate, span := m.First*math.Pow(m.Factor, float64(i)), m.Span
		if i < 0 {
			rate, span = m.Base, baseSpanFactor*m.Span
		}
		labBefore, _ := processorTime(os.Getpid())
		began := time.Now()
		turn := 0
		if (i%2 == 0) != repeated {
			turn = 1
		}
		round, err := chains.runRound(ctx, load{rate: rate, warmUp: m.WarmUp, span: span, seed: m.Seed + uint64(i+1)}, turn)
		if err != nil {
			return err
		}
		labAfter, _ := processorTime(os.Getpid())
		loaded, idle := round.results[withAgents], round.idleWork[withAgents].processor.Seconds()/round.idleSpan.Seconds()
		with, without := loaded.latency, round.results[direct].latency
		if i < 0 {
			base = loaded
		}
		reason := failureReason(loaded, base)
		used := loaded.work.processor.Seconds() / loaded.took.Seconds()
		add50, add99 := float64(with.ValueAtPercentile(50)-without.ValueAtPercentile(50))/1e3, float64(with.ValueAtPercentile(99)-without.ValueAtPercentile(99))/1e3
		fmt.Fprintf(out, "  %7.0f %7d %6d | %7s %7s %7s | %7s %7s | %7.0f %7.0f %6.2f | %7.1f %7.1f | %5.2f %5.2f %5.2f | %6s %6.0f %s\n", rate, loaded.asked, loaded.refused+loaded.lost,
			formatMicros(with.ValueAtPercentile(50)), formatMicros(with.ValueAtPercentile(99)), formatMicros(with.ValueAtPercentile(99.9)), formatMicros(without.ValueAtPercentile(50)), formatMicros(without.ValueAtPercentile(99)),
			add50, add99, float64(with.ValueAtPercentile(99))/float64(without.ValueAtPercentile(99)), add50/float64(n), add99/float64(n),
			used/float64(n), used, (labAfter-labBefore).Seconds()/time.Since(began).Seconds(), formatMicros(loaded.lateness.ValueAtPercentile(99)),
			1e6*(used-idle)/float64(n)/(float64(loaded.asked)/loaded.took.Seconds()), reason)
		if reason != "" && !repeated { // other load on the machine may be the cause
			repeated = true
			i--
			continue
		}
		if reason != "" {
			break
		}
		repeated = false
		best = rate
		rates, p50s, p99s, cores = append(rates, rate), append(p50s, add50/float64(n)), append(p99s, add99/float64(n)), append(cores, used/float64(n))
	}
	fmt.Fprintf(out, "  highest rate that held: %.0f calls a second an agent\n", best)
	if len(rates) > 2 {
		fmt.Fprintf(out, "  added p50 a hop, µs = a + b × rate: %s\n", formatFit(rates, p50s))
		fmt.Fprintf(out, "  added p99 a hop, µs = a + b × rate: %s\n", formatFit(rates, p99s))
		fmt.Fprintf(out, "  cores of one agent = a + b × rate: %s\n", formatFit(rates, cores))
	}
	return nil
}
