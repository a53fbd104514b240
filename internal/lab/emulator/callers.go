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

// Load is the load that callers offer.
type Load struct {
	Rates []float64 // new calls a second, by agent
	Seed  uint64
	// ChoiceVariation is the coefficient of variation of the groups' weights by which calls name a setup
	// server of first choice. Negative: calls name none.
	ChoiceVariation float64
	ChoicePeriod    time.Duration // the weights are drawn again after this; 0: never
}

// UnevenRates divides a total rate among agents: log-normally, and one in twenty gets four times its share.
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

// Outcome counts the results of calls. Callers may try a call several times.
type Outcome struct {
	Calls, Tries           int     // calls, and all their tries
	Served, Late           int     // calls that stood within the aim, and later
	Refused, Failed        int     // tries with this answer
	Unheard                int     // tries without an answer from an agent that was stalled, cut off or killed
	Lost                   int     // tries without an answer from any other agent, which breaks a rule
	Cut                    int     // calls that stood and were cut
	Offered, Worth         float64 // worth of all calls, and the part that was earned
	WorthByClass, AskedFor map[string]float64
}

// Share returns the share of the offered worth that was earned.
func (o Outcome) Share() float64 { return o.Worth / max(o.Offered, 1e-9) }

// Callers call agents in an open loop: calls begin at their drawn times, whether or not the agents keep up.
type Callers struct {
	world     *World
	load      Load
	addr      func(agent int) string
	conns     []*callerConn
	nextID    atomic.Uint64
	rateScale atomic.Uint64  // bits of the float64 factor set by Scale
	pending   sync.WaitGroup // arrival loops and open tries
	stop      context.CancelFunc

	mu            sync.Mutex
	choiceWeights []float64 // cumulative weights of the groups
	choicesDrawn  time.Time
	outcome       Outcome
	setUpTimes    []time.Duration // from a call's begin until it stood, since the last Tally
}

// callerConn is the connection of an agent's callers, opened again when it has broken.
type callerConn struct {
	agent int

	mu           sync.Mutex
	conn         net.Conn
	calls        map[isup.CallID]*callerTry
	diverted     bool      // new tries go to other agents
	faultChanged time.Time // when faulty was last set, either way
	faulty       bool      // the agent is stalled, cut off or killed
}

// callerTry is one try of a call.
type callerTry struct {
	id       isup.CallID
	call     *callerCall
	number   int // 0: the call's first try
	sentAt   time.Time
	deadline time.Time
	answered bool // it has its answer, or needs none any more
	over     bool // it failed, or its call has ended
	timer    *time.Timer
}

// callerCall is a call with all its tries.
type callerCall struct {
	class  Class
	tenant string
	number string
	begun  time.Time
	earned float64 // worth
}

// StartCallers starts callers at the agents' addresses. No call begins after ctx ends; Wait waits for the
// last ones.
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

// Scale multiplies the rates given in Load by f from now on.
func (c *Callers) Scale(f float64) { c.rateScale.Store(math.Float64bits(f)) }

// Wait stops new calls and waits until every call has its answer or its deadline has passed.
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

// MarkFaulty says whether an agent is stalled, cut off or killed from now on. Tries at a faulty agent need
// not be answered.
func (c *Callers) MarkFaulty(agent int, on bool) {
	l := c.conns[agent]
	l.mu.Lock()
	l.faultChanged, l.faulty = time.Now(), on
	l.mu.Unlock()
}

// Divert sends new tries for an agent to others (true) or to it again (false), as the platform's front does
// when an agent stops or is known to be dead. Open tries stay at the agent.
func (c *Callers) Divert(agent int, on bool) {
	l := c.conns[agent]
	l.mu.Lock()
	l.diverted = on
	l.mu.Unlock()
}

// connFor returns the connection for a new try: l, or if callers are diverted from its agent, that of
// another agent. It searches in steps of eight agents, so that callers of neighbouring agents are spread.
// As such steps may miss agents, it then searches in steps of one.
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

// Tally returns the outcome so far, and the set-up times of calls that stood since the last Tally.
func (c *Callers) Tally() (Outcome, []time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	setUpTimes := c.setUpTimes
	c.setUpTimes = nil
	return c.outcome, setUpTimes
}

// arrivals begins calls at an agent, as a Poisson process, until ctx ends.
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

// drawCall draws a call's class and tenant by their shares, and its number.
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

// drawFirstChoice draws the group of first choice, or returns -1 if calls name none.
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

// sendTry sends one try of a call, and has it end without an answer after its time.
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
	c.world.Check.AddCall(t.id)
	conn, err := c.connect(l)
	if err == nil {
		l.mu.Lock()
		l.calls[t.id] = t
		// From then on the try counts as not answered; an answer after that is ignored.
		t.timer = time.AfterFunc(left+answerGrace, func() { c.finishTry(l, t, "unheard", 0, dest) })
		l.mu.Unlock()
		b, _ := m.Append(nil)
		_, err = conn.Write(b)
	}
	if err != nil { // no connection: the agent never received it
		l.mu.Lock()
		t.sentAt = time.Time{}
		l.mu.Unlock()
		c.finishTry(l, t, "untaken", 0, dest)
	}
}

// answerGrace is how long after a try's deadline its answer is still accepted. An answer after the
// call's deadline earns nothing.
const answerGrace = 500 * time.Millisecond

// connect returns the agent's connection and opens it if needed.
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

// readAnswers receives messages until the connection ends. Tries still open on it then end without an answer.
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

// receive handles an answer or a release.
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

// recordServed records that a call stands, and what it earns.
func (c *Callers) recordServed(l *callerConn, t *callerTry) {
	l.mu.Lock()
	wasAnswered := t.answered
	t.answered = true
	t.timer.Stop()
	l.mu.Unlock()
	if wasAnswered { // the try had timed out in the meantime
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
	// The end of the call may be reported on any connection or, if its server died, not at all.
	time.AfterFunc(10*c.world.hold(), func() { c.recordEnd(l, t, false) })
}

// recordEnd records the end of a call that stood. A call that was cut earns nothing.
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

// forgetDelay is how long the checker keeps a call that has ended.
const forgetDelay = 30 * time.Second

// finishTry records a try that failed, and has the caller try again if it may.
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
	if result == "unheard" && conn != nil { // the caller withdraws the call
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
	// The set-up may still arrive, after a cut link heals or a stalled agent continues.
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
