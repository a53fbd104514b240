package emulator

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"woodrouter/isup"
)

// Load is what callers ask for.
type Load struct {
	Rates []float64 // calls a second that begin at each agent
	Seed  uint64
	// Choice is how unevenly calls name a setup server of first choice (a coefficient of
	// variation over the groups, drawn anew every Shift); negative: they name none.
	Choice float64
	Shift  time.Duration
}

// Uneven shares a total out over agents: most near the mean, one in twenty several times it.
func Uneven(agents int, total float64, seed uint64) []float64 {
	rng := rand.New(rand.NewPCG(seed, 21))
	out := make([]float64, agents)
	sum := 0.0
	for i := range out {
		out[i] = math.Exp(0.5 * rng.NormFloat64())
		if rng.IntN(20) == 0 {
			out[i] *= 4
		}
		sum += out[i]
	}
	for i := range out {
		out[i] *= total / sum
	}
	return out
}

// Outcome counts what came of calls, a caller's further tries with the first.
type Outcome struct {
	Calls, Tries           int     // first tries, and all
	Served, Late           int     // stood within the aim; later
	Refused, Failed        int     // answers of this kind, of all tries
	Unheard                int     // tries without an answer at an agent that was stalled, cut off or killed
	Lost                   int     // without one at any other: a broken rule
	Cut                    int     // calls that stood and were cut
	Offered, Worth         float64 // of the first tries, and what was earned
	WorthByClass, AskedFor map[string]float64
}

// Share is the worth that was served, of what was asked for.
func (o Outcome) Share() float64 { return o.Worth / max(o.Offered, 1e-9) }

// Callers call agents, open loop: a call comes when its time has come.
type Callers struct {
	world *World
	load  Load
	addr  func(agent int) string
	lines []*line
	next  atomic.Uint64
	scale atomic.Uint64 // float bits
	open  sync.WaitGroup
	stop  context.CancelFunc

	mu      sync.Mutex
	choices []float64 // cumulative weights of the groups
	drawn   time.Time
	sum     Outcome
	waits   []time.Duration // of served calls, since the last Tally
}

// line is the connection of an agent's callers.
type line struct {
	agent int

	mu        sync.Mutex
	conn      net.Conn
	calls     map[isup.CallID]*tried
	away      bool      // callers go to other agents
	disturbed time.Time // the agent was stalled, cut off or killed last
	troubled  bool      // and still is
}

// tried is one try of a call.
type tried struct {
	id       isup.CallID
	root     *root
	n        int
	at       time.Time
	deadline time.Time
	answered bool
	over     bool
	timer    *time.Timer
}

// root is a call with all its tries.
type root struct {
	class  Class
	tenant string
	number string
	at     time.Time
	earned float64
}

// Call starts callers at the agents' addresses. They stop with ctx, and Wait waits for the last.
func (w *World) Call(ctx context.Context, load Load, addr func(agent int) string) *Callers {
	c := &Callers{world: w, load: load, addr: addr}
	c.sum.WorthByClass, c.sum.AskedFor = map[string]float64{}, map[string]float64{}
	c.Scale(1)
	ctx, c.stop = context.WithCancel(ctx)
	for i := range load.Rates {
		c.lines = append(c.lines, &line{agent: i, calls: map[isup.CallID]*tried{}})
	}
	for i, rate := range load.Rates {
		if rate > 0 {
			c.open.Go(func() { c.arrivals(ctx, c.lines[i], rate) })
		}
	}
	return c
}

// Scale has calls come so many times as often from now on.
func (c *Callers) Scale(f float64) { c.scale.Store(math.Float64bits(f)) }

// Wait ends the arrivals and waits until every call has its answer or its time has passed.
func (c *Callers) Wait() {
	c.stop()
	c.open.Wait()
	for _, l := range c.lines {
		l.mu.Lock()
		if l.conn != nil {
			l.conn.Close()
		}
		l.mu.Unlock()
	}
}

// Trouble tells that an agent is stalled, cut off or killed from now on (or, with false, no
// more): what is open there need not be answered.
func (c *Callers) Trouble(agent int, on bool) {
	l := c.lines[agent]
	l.mu.Lock()
	l.disturbed, l.troubled = time.Now(), on
	l.mu.Unlock()
}

// Divert has new calls of an agent go to others, as the platform's front does once an agent
// stops or is known to be dead; what is open there stays.
func (c *Callers) Divert(agent int, on bool) {
	l := c.lines[agent]
	l.mu.Lock()
	l.away = on
	l.mu.Unlock()
}

// to is the line that a new try takes: its own, or one after it that callers may go to. It looks
// eight on, so that the callers of neighbours spread, and where that comes round too soon, one on.
func (c *Callers) to(l *line) *line {
	for i := range 2 * len(c.lines) {
		at := l.agent + 8*i
		if i >= len(c.lines) {
			at = l.agent + i
		}
		o := c.lines[at%len(c.lines)]
		o.mu.Lock()
		away := o.away
		o.mu.Unlock()
		if !away {
			return o
		}
	}
	return l
}

// Tally is the outcome so far, and how long the calls that were served since the last one took.
func (c *Callers) Tally() (Outcome, []time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waits := c.waits
	c.waits = nil
	return c.sum, waits
}

func (c *Callers) arrivals(ctx context.Context, l *line, rate float64) {
	rng := rand.New(rand.NewPCG(c.load.Seed, uint64(1000+l.agent)))
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate / math.Float64frombits(c.scale.Load()) * float64(time.Second)))
		wait(ctx, time.Until(next))
		if ctx.Err() != nil {
			return
		}
		r := c.draw(rng)
		c.open.Add(1)
		go c.try(l, r, 0, c.first(rng))
	}
}

// draw makes a call of a class and a tenant by their shares.
func (c *Callers) draw(rng *rand.Rand) *root {
	d := c.world.Deployment
	r := &root{class: d.Classes[len(d.Classes)-1], at: time.Now(), number: fmt.Sprintf("%016x", rng.Uint64())}
	x := rng.Float64()
	for _, k := range d.Classes {
		if x -= k.Share; x < 0 {
			r.class = k
			break
		}
	}
	x = rng.Float64()
	for _, t := range d.Tenants {
		r.tenant = t.Name
		if x -= t.Usage; x < 0 {
			break
		}
	}
	c.mu.Lock()
	c.sum.Calls++
	c.sum.Offered += r.class.Worth
	c.sum.AskedFor[r.class.Name] += r.class.Worth
	c.mu.Unlock()
	return r
}

// first draws the group of first choice; -1: none.
func (c *Callers) first(rng *rand.Rand) int {
	if c.load.Choice < 0 {
		return -1
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.choices == nil || c.load.Shift > 0 && time.Since(c.drawn) > c.load.Shift {
		c.drawn, c.choices = time.Now(), nil
		sigma, sum := math.Sqrt(math.Log(1+c.load.Choice*c.load.Choice)), 0.0
		for g := range c.world.groups {
			sum += c.world.rate(g) * math.Exp(sigma*rng.NormFloat64())
			c.choices = append(c.choices, sum)
		}
	}
	x := rng.Float64() * c.choices[len(c.choices)-1]
	for g, upTo := range c.choices {
		if x < upTo {
			return g
		}
	}
	return len(c.choices) - 1
}

// try sends one try and waits for what comes of it.
func (c *Callers) try(l *line, r *root, n, dest int) {
	l = c.to(l)
	now := time.Now()
	whole := r.at.Add(r.class.Deadline)
	until := whole
	if r.class.Try > 0 {
		until = now.Add(time.Duration(r.class.Try * float64(r.class.Deadline)))
	}
	if until.After(whole) {
		until = whole
	}
	t := &tried{id: isup.CallID(c.next.Add(1)), root: r, n: n, at: now, deadline: until}
	c.mu.Lock()
	c.sum.Tries++
	c.mu.Unlock()
	left := until.Sub(now)
	figures := "width:1;via:-1"
	if dest >= 0 {
		figures = fmt.Sprintf("dest:%d;%s", dest, figures)
	}
	m := isup.Message{Type: isup.SetUp, Call: t.id}.WithText(isup.Class, r.class.Name).WithMillis(isup.TimeLeft, left).
		WithText(isup.Number, r.number).WithText(isup.Figures, figures).WithText(isup.Description, "offer "+t.id.String())
	if r.tenant != "" {
		m = m.WithText(isup.Tenant, r.tenant)
	}
	if n > 0 && c.world.MarkRetry {
		m = m.WithText(isup.Retry, "1")
	}
	c.world.Check.asked(t.id)
	conn, err := c.connect(l)
	if err == nil {
		l.mu.Lock()
		l.calls[t.id] = t
		// A while after its time the answer is owed no more; later it is lost.
		t.timer = time.AfterFunc(left+answerGrace, func() { c.finish(l, t, "unheard", 0, dest) })
		l.mu.Unlock()
		b, _ := m.Append(nil)
		_, err = conn.Write(b)
	}
	if err != nil { // no connection: it was never taken
		l.mu.Lock()
		t.at = time.Time{}
		l.mu.Unlock()
		c.finish(l, t, "untaken", 0, dest)
	}
}

// answerGrace is how long after its time a caller still hears an answer, which earns nothing.
const answerGrace = 500 * time.Millisecond

func (c *Callers) connect(l *line) (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		return l.conn, nil
	}
	conn, err := net.DialTimeout("tcp", c.addr(l.agent), 500*time.Millisecond)
	if err != nil {
		return nil, err
	}
	l.conn = conn
	go c.read(l, conn)
	return conn, nil
}

func (c *Callers) read(l *line, conn net.Conn) {
	for in := bufio.NewReaderSize(conn, 1<<10); ; {
		m, err := isup.Read(in)
		if err != nil {
			break
		}
		switch m.Type {
		case isup.Answer:
			c.heard(l, m, m.Text(isup.Description))
		case isup.Release:
			c.heard(l, m, "")
		}
	}
	conn.Close()
	l.mu.Lock()
	if l.conn == conn {
		l.conn = nil
	}
	var open []*tried
	for _, t := range l.calls {
		if !t.answered {
			open = append(open, t)
		}
	}
	l.mu.Unlock()
	for _, t := range open {
		c.finish(l, t, "unheard", 0, -1)
	}
}

// heard takes an answer, or a release.
func (c *Callers) heard(l *line, m isup.Message, room string) {
	l.mu.Lock()
	t := l.calls[m.Call]
	answered := t != nil && t.answered
	l.mu.Unlock()
	if t == nil {
		return
	}
	if answered {
		if room != "" {
			c.world.Check.answered(t.id, room, 0, true)
			return
		}
		cause, _ := m.Cause()
		c.ended(l, t, cause != isup.Normal)
		return
	}
	away, _ := m.Millis(isup.RetryAfter)
	cause, _ := m.Cause()
	switch {
	case room != "":
		c.world.Check.answered(t.id, room, time.Since(t.deadline)-answerGrace, false)
		c.served(l, t)
	case cause == isup.NoCircuit || cause == isup.Congestion || cause == isup.TimerExpiry:
		c.finish(l, t, "refused", away, -1)
	default:
		c.finish(l, t, "failed", away, -1)
	}
}

func (c *Callers) served(l *line, t *tried) {
	l.mu.Lock()
	was := t.answered
	t.answered = true
	t.timer.Stop()
	l.mu.Unlock()
	if was { // its caller had left just now
		return
	}
	took := time.Since(t.root.at)
	c.mu.Lock()
	c.waits = append(c.waits, took)
	switch k := t.root.class; {
	case took <= k.Aim:
		c.sum.Served++
		t.root.earned = k.Worth
	case took <= k.Deadline:
		c.sum.Late++
		t.root.earned = k.Worth * k.Late
	}
	c.sum.Worth += t.root.earned
	c.sum.WorthByClass[t.root.class.Name] += t.root.earned
	c.mu.Unlock()
	c.open.Done()
	// Its end may come on any connection or, where its server died, not at all.
	time.AfterFunc(10*c.world.hold(), func() { c.ended(l, t, false) })
}

// ended is the end of a call that stood; one that was cut has earned nothing.
func (c *Callers) ended(l *line, t *tried, cut bool) {
	l.mu.Lock()
	was := t.over
	t.over = true
	delete(l.calls, t.id)
	l.mu.Unlock()
	if was {
		return
	}
	time.AfterFunc(forgetAfter, func() { c.world.Check.forget(t.id) })
	if cut {
		c.mu.Lock()
		c.sum.Cut++
		c.sum.Worth -= t.root.earned
		c.sum.WorthByClass[t.root.class.Name] -= t.root.earned
		c.mu.Unlock()
	}
}

// forgetAfter is how long a call that is over is known to the checker.
const forgetAfter = 30 * time.Second

// finish is the end of a try that was not served; the caller may dial again.
func (c *Callers) finish(l *line, t *tried, how string, away time.Duration, dest int) {
	l.mu.Lock()
	if t.answered || t.over {
		l.mu.Unlock()
		return
	}
	t.over, t.answered = true, true
	asked := t.at
	if t.timer != nil {
		t.timer.Stop()
	}
	delete(l.calls, t.id)
	excused := c.world.Check.Starved() || l.troubled || !l.disturbed.IsZero() && l.disturbed.After(asked.Add(-time.Second))
	conn := l.conn
	l.mu.Unlock()
	if how == "unheard" && conn != nil { // the caller leaves
		if b, err := (isup.Message{Type: isup.Release, Call: t.id}).WithCause(isup.Normal).Append(nil); err == nil {
			conn.Write(b)
		}
	}
	c.mu.Lock()
	switch how {
	case "refused":
		c.sum.Refused++
	case "failed":
		c.sum.Failed++
	case "unheard":
		if excused {
			c.sum.Unheard++
		} else {
			c.sum.Lost++
		}
	default:
		c.sum.Unheard++
	}
	c.mu.Unlock()
	if how == "unheard" && !excused {
		c.world.Check.broke("no answer", "%v at agent %d, asked %v ago", t.id, l.agent, time.Since(asked).Round(time.Millisecond))
	}
	// A set-up may be on its way yet, held back by a link or at an agent that stands still.
	time.AfterFunc(forgetAfter, func() { c.world.Check.forget(t.id) })
	defer c.open.Done()
	if t.n >= c.world.Redials {
		return
	}
	back := max(time.Duration(float64(c.world.BackOff)*math.Pow(2, float64(t.n))*(0.75+rand.Float64()/2)), away)
	if time.Now().Add(back + 100*time.Millisecond).After(t.root.at.Add(t.root.class.Deadline)) {
		return
	}
	c.open.Add(1)
	time.AfterFunc(back, func() { c.try(l, t.root, t.n+1, dest) })
}
