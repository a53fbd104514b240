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
	// ChoiceVariation is how unevenly calls name a setup server of first choice (a coefficient of
	// variation over the groups, drawn anew every Shift); negative: they name none.
	ChoiceVariation float64
	ChoicePeriod    time.Duration
}

// UnevenRates shares a total out over agents: most near the mean, one in twenty several times it.
func UnevenRates(agents int, total float64, seed uint64) []float64 {
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
	world     *World
	load      Load
	addr      func(agent int) string
	conns     []*callerConn
	nextID    atomic.Uint64
	rateScale atomic.Uint64 // float bits
	pending   sync.WaitGroup
	stop      context.CancelFunc

	mu            sync.Mutex
	choiceWeights []float64 // cumulative weights of the groups
	choicesDrawn  time.Time
	outcome       Outcome
	setUpTimes    []time.Duration // of served calls, since the last Tally
}

// callerConn is the connection of an agent's callers.
type callerConn struct {
	agent int

	mu           sync.Mutex
	conn         net.Conn
	calls        map[isup.CallID]*callerTry
	diverted     bool      // callers go to other agents
	faultChanged time.Time // the agent was stalled, cut off or killed last
	faulty       bool      // and still is
}

// callerTry is one try of a call.
type callerTry struct {
	id       isup.CallID
	call     *callerCall
	number   int
	sentAt   time.Time
	deadline time.Time
	answered bool
	over     bool
	timer    *time.Timer
}

// callerCall is a call with all its tries.
type callerCall struct {
	class  Class
	tenant string
	number string
	begun  time.Time
	earned float64
}

// StartCallers starts callers at the agents' addresses. They stop with ctx, and Wait waits for the last.
func (w *World) StartCallers(ctx context.Context, load Load, addr func(agent int) string) *Callers {
	c := &Callers{world: w, load: load, addr: addr}
	c.outcome.WorthByClass, c.outcome.AskedFor = map[string]float64{}, map[string]float64{}
	c.Scale(1)
	ctx, c.stop = context.WithCancel(ctx)
	for i := range load.Rates {
		c.conns = append(c.conns, &callerConn{agent: i, calls: map[isup.CallID]*callerTry{}})
	}
	for i, rate := range load.Rates {
		if rate > 0 {
			c.pending.Go(func() { c.arrivals(ctx, c.conns[i], rate) })
		}
	}
	return c
}

// Scale has calls come so many times as often from now on.
func (c *Callers) Scale(f float64) { c.rateScale.Store(math.Float64bits(f)) }

// Wait ends the arrivals and waits until every call has its answer or its time has passed.
func (c *Callers) Wait() {
	c.stop()
	c.pending.Wait()
	for _, l := range c.conns {
		l.mu.Lock()
		if l.conn != nil {
			l.conn.Close()
		}
		l.mu.Unlock()
	}
}

// MarkFaulty tells that an agent is stalled, cut off or killed from now on (or, with false, no
// more): what is open there need not be answered.
func (c *Callers) MarkFaulty(agent int, on bool) {
	l := c.conns[agent]
	l.mu.Lock()
	l.faultChanged, l.faulty = time.Now(), on
	l.mu.Unlock()
}

// Divert has new calls of an agent go to others, as the platform's front does once an agent
// stops or is known to be dead; what is open there stays.
func (c *Callers) Divert(agent int, on bool) {
	l := c.conns[agent]
	l.mu.Lock()
	l.diverted = on
	l.mu.Unlock()
}

// connFor is the line that a new try takes: its own, or one after it that callers may go to. It looks
// eight on, so that the callers of neighbours spread, and where that comes round too soon, one on.
func (c *Callers) connFor(l *callerConn) *callerConn {
	for i := range 2 * len(c.conns) {
		at := l.agent + 8*i
		if i >= len(c.conns) {
			at = l.agent + i
		}
		o := c.conns[at%len(c.conns)]
		o.mu.Lock()
		diverted := o.diverted
		o.mu.Unlock()
		if !diverted {
			return o
		}
	}
	return l
}

// Tally is the outcome so far, and how long the calls that were served since the last one took.
func (c *Callers) Tally() (Outcome, []time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	setUpTimes := c.setUpTimes
	c.setUpTimes = nil
	return c.outcome, setUpTimes
}

func (c *Callers) arrivals(ctx context.Context, l *callerConn, rate float64) {
	rng := rand.New(rand.NewPCG(c.load.Seed, uint64(1000+l.agent)))
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate / math.Float64frombits(c.rateScale.Load()) * float64(time.Second)))
		sleep(ctx, time.Until(next))
		if ctx.Err() != nil {
			return
		}
		r := c.drawCall(rng)
		c.pending.Add(1)
		go c.sendTry(l, r, 0, c.drawFirstChoice(rng))
	}
}

// drawCall makes a call of a class and a tenant by their shares.
func (c *Callers) drawCall(rng *rand.Rand) *callerCall {
	d := c.world.Deployment
	r := &callerCall{class: d.Classes[len(d.Classes)-1], begun: time.Now(), number: fmt.Sprintf("%016x", rng.Uint64())}
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
	c.outcome.Calls++
	c.outcome.Offered += r.class.Worth
	c.outcome.AskedFor[r.class.Name] += r.class.Worth
	c.mu.Unlock()
	return r
}

// drawFirstChoice draws the group of first choice; -1: none.
func (c *Callers) drawFirstChoice(rng *rand.Rand) int {
	if c.load.ChoiceVariation < 0 {
		return -1
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.choiceWeights == nil || c.load.ChoicePeriod > 0 && time.Since(c.choicesDrawn) > c.load.ChoicePeriod {
		c.choicesDrawn, c.choiceWeights = time.Now(), nil
		sigma, sum := math.Sqrt(math.Log(1+c.load.ChoiceVariation*c.load.ChoiceVariation)), 0.0
		for g := range c.world.groups {
			sum += c.world.rate(g) * math.Exp(sigma*rng.NormFloat64())
			c.choiceWeights = append(c.choiceWeights, sum)
		}
	}
	x := rng.Float64() * c.choiceWeights[len(c.choiceWeights)-1]
	for g, upTo := range c.choiceWeights {
		if x < upTo {
			return g
		}
	}
	return len(c.choiceWeights) - 1
}

// sendTry sends one try and waits for what comes of it.
func (c *Callers) sendTry(l *callerConn, r *callerCall, n, dest int) {
	l = c.connFor(l)
	now := time.Now()
	callDeadline := r.begun.Add(r.class.Deadline)
	deadline := callDeadline
	if r.class.TryShare > 0 {
		deadline = now.Add(time.Duration(r.class.TryShare * float64(r.class.Deadline)))
	}
	if deadline.After(callDeadline) {
		deadline = callDeadline
	}
	t := &callerTry{id: isup.CallID(c.nextID.Add(1)), call: r, number: n, sentAt: now, deadline: deadline}
	c.mu.Lock()
	c.outcome.Tries++
	c.mu.Unlock()
	left := deadline.Sub(now)
	figures := "width:1;via:-1"
	if dest >= 0 {
		figures = fmt.Sprintf("dest:%d;%s", dest, figures)
	}
	m := isup.Message{Type: isup.SetUp, Call: t.id}.WithText(isup.Class, r.class.Name).WithMillis(isup.TimeLeft, left).
		WithText(isup.Number, r.number).WithText(isup.Figures, figures).WithText(isup.Description, "offer "+t.id.String())
	if r.tenant != "" {
		m = m.WithText(isup.Tenant, r.tenant)
	}
	if n > 0 && c.world.MarksRetry {
		m = m.WithText(isup.Retry, "1")
	}
	c.world.Check.addCall(t.id)
	conn, err := c.connect(l)
	if err == nil {
		l.mu.Lock()
		l.calls[t.id] = t
		// A while after its time the answer is owed no more; later it is lost.
		t.timer = time.AfterFunc(left+answerGrace, func() { c.finishTry(l, t, "unheard", 0, dest) })
		l.mu.Unlock()
		b, _ := m.Append(nil)
		_, err = conn.Write(b)
	}
	if err != nil { // no connection: it was never taken
		l.mu.Lock()
		t.sentAt = time.Time{}
		l.mu.Unlock()
		c.finishTry(l, t, "untaken", 0, dest)
	}
}

// answerGrace is how long after its time a caller still hears an answer, which earns nothing.
const answerGrace = 500 * time.Millisecond

func (c *Callers) connect(l *callerConn) (net.Conn, error) {
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
	go c.readAnswers(l, conn)
	return conn, nil
}

func (c *Callers) readAnswers(l *callerConn, conn net.Conn) {
	for in := bufio.NewReaderSize(conn, 1<<10); ; {
		m, err := isup.Read(in)
		if err != nil {
			break
		}
		switch m.Type {
		case isup.Answer:
			c.receive(l, m, m.Text(isup.Description))
		case isup.Release:
			c.receive(l, m, "")
		}
	}
	conn.Close()
	l.mu.Lock()
	if l.conn == conn {
		l.conn = nil
	}
	var open []*callerTry
	for _, t := range l.calls {
		if !t.answered {
			open = append(open, t)
		}
	}
	l.mu.Unlock()
	for _, t := range open {
		c.finishTry(l, t, "unheard", 0, -1)
	}
}

// receive takes an answer, or a release.
func (c *Callers) receive(l *callerConn, m isup.Message, description string) {
	l.mu.Lock()
	t := l.calls[m.Call]
	answered := t != nil && t.answered
	l.mu.Unlock()
	if t == nil {
		return
	}
	if answered {
		if description != "" {
			c.world.Check.checkAnswer(t.id, description, 0, true)
			return
		}
		cause, _ := m.Cause()
		c.recordEnd(l, t, cause != isup.Normal)
		return
	}
	retryAfter, _ := m.Millis(isup.RetryAfter)
	cause, _ := m.Cause()
	switch {
	case description != "":
		c.world.Check.checkAnswer(t.id, description, time.Since(t.deadline)-answerGrace, false)
		c.recordServed(l, t)
	case cause == isup.NoCircuit || cause == isup.Congestion || cause == isup.TimerExpiry:
		c.finishTry(l, t, "refused", retryAfter, -1)
	default:
		c.finishTry(l, t, "failed", retryAfter, -1)
	}
}

func (c *Callers) recordServed(l *callerConn, t *callerTry) {
	l.mu.Lock()
	wasAnswered := t.answered
	t.answered = true
	t.timer.Stop()
	l.mu.Unlock()
	if wasAnswered { // its caller had left just now
		return
	}
	took := time.Since(t.call.begun)
	c.mu.Lock()
	c.setUpTimes = append(c.setUpTimes, took)
	switch k := t.call.class; {
	case took <= k.Aim:
		c.outcome.Served++
		t.call.earned = k.Worth
	case took <= k.Deadline:
		c.outcome.Late++
		t.call.earned = k.Worth * k.LateShare
	}
	c.outcome.Worth += t.call.earned
	c.outcome.WorthByClass[t.call.class.Name] += t.call.earned
	c.mu.Unlock()
	c.pending.Done()
	// Its end may come on any connection or, where its server died, not at all.
	time.AfterFunc(10*c.world.hold(), func() { c.recordEnd(l, t, false) })
}

// recordEnd is the end of a call that stood; one that was cut has earned nothing.
func (c *Callers) recordEnd(l *callerConn, t *callerTry, cut bool) {
	l.mu.Lock()
	wasOver := t.over
	t.over = true
	delete(l.calls, t.id)
	l.mu.Unlock()
	if wasOver {
		return
	}
	time.AfterFunc(forgetDelay, func() { c.world.Check.removeCall(t.id) })
	if cut {
		c.mu.Lock()
		c.outcome.Cut++
		c.outcome.Worth -= t.call.earned
		c.outcome.WorthByClass[t.call.class.Name] -= t.call.earned
		c.mu.Unlock()
	}
}

// forgetDelay is how long a call that is over is known to the checker.
const forgetDelay = 30 * time.Second

// finishTry is the end of a try that was not served; the caller may dial again.
func (c *Callers) finishTry(l *callerConn, t *callerTry, result string, retryAfter time.Duration, dest int) {
	l.mu.Lock()
	if t.answered || t.over {
		l.mu.Unlock()
		return
	}
	t.over, t.answered = true, true
	sentAt := t.sentAt
	if t.timer != nil {
		t.timer.Stop()
	}
	delete(l.calls, t.id)
	excused := c.world.Check.Starved() || l.faulty || !l.faultChanged.IsZero() && l.faultChanged.After(sentAt.Add(-time.Second))
	conn := l.conn
	l.mu.Unlock()
	if result == "unheard" && conn != nil { // the caller leaves
		if b, err := (isup.Message{Type: isup.Release, Call: t.id}).WithCause(isup.Normal).Append(nil); err == nil {
			conn.Write(b)
		}
	}
	c.mu.Lock()
	switch result {
	case "refused":
		c.outcome.Refused++
	case "failed":
		c.outcome.Failed++
	case "unheard":
		if excused {
			c.outcome.Unheard++
		} else {
			c.outcome.Lost++
		}
	default:
		c.outcome.Unheard++
	}
	c.mu.Unlock()
	if result == "unheard" && !excused {
		c.world.Check.recordBroken("no answer", "%v at agent %d, asked %v ago", t.id, l.agent, time.Since(sentAt).Round(time.Millisecond))
	}
	// A set-up may be on its way yet, held back by a link or at an agent that stands still.
	time.AfterFunc(forgetDelay, func() { c.world.Check.removeCall(t.id) })
	defer c.pending.Done()
	if t.number >= c.world.MaxRedials {
		return
	}
	backoff := max(time.Duration(float64(c.world.RedialBackoff)*math.Pow(2, float64(t.number))*(0.75+rand.Float64()/2)), retryAfter)
	if time.Now().Add(backoff + 100*time.Millisecond).After(t.call.begun.Add(t.call.class.Deadline)) {
		return
	}
	c.pending.Add(1)
	time.AfterFunc(backoff, func() { c.sendTry(l, t.call, t.number+1, dest) })
}
