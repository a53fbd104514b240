package soaklab

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"woodrouter/internal/lab"
	"woodrouter/internal/lab/emulator"
	"woodrouter/isup"
)

// What callers do, as shares of their calls or connections.
const (
	inPiecesShare   = 0.2  // set-ups that are written in pieces
	givesUpShare    = 0.08 // calls that are given up early
	releasesShare   = 0.15 // calls that stand and are released by their caller
	hurriedShare    = 0.05 // calls with very little time
	leavesShare     = 0.01 // set-ups after which the caller closes its connection
	halfShare       = 0.01 // set-ups of which only a part is written before the connection is closed
	repeatsShare    = 0.5  // refused calls that are sent again at once
	abruptShare     = 0.5  // connections that are closed without waiting for the agent's end of them
	longestPieceGap = 20 * time.Millisecond
	longestHurried  = 40 * time.Millisecond
)

// callers place calls at one agent until the trial ends.
type callers struct {
	trial *trial
	agent int

	accepting atomic.Bool // new connections may be made
	stopping  atomic.Bool // the process has got SIGTERM: open connections are used until they end
	lifeIndex atomic.Int64
}

// client is one connection of callers.
type client struct {
	callers *callers
	conn    net.Conn
	life    int
	rng     *rand.Rand

	writing sync.Mutex
	mu      sync.Mutex
	tries   map[isup.CallID]bool // tries without an answer
	closed  bool                 // closed by the caller
	ended   chan struct{}        // closed once reading has ended
}

// run keeps a number of clients at work, each on a connection that is replaced after a while.
func (c *callers) run(ctx context.Context, clients int, rate func() float64) {
	var all sync.WaitGroup
	for i := range clients {
		rng := rand.New(rand.NewPCG(c.trial.Seed, uint64(100*c.agent+i)))
		all.Go(func() {
			for ctx.Err() == nil {
				c.runClient(ctx, rng, func() float64 { return rate() / float64(clients) })
				lab.Sleep(ctx, reconnectInterval)
			}
		})
	}
	all.Go(c.listen)
	all.Wait()
}

// reconnectInterval is the time between a client's connections.
const reconnectInterval = 10 * time.Millisecond

// listen keeps a connection on which ends of calls can be reported until all calls have ended.
func (c *callers) listen() {
	for {
		if k := c.connect(rand.New(rand.NewPCG(c.trial.Seed, 7))); k != nil {
			k.write(encoded(isup.Message{Type: isup.Test, Call: 1}.WithCause(isup.NotPassed)), false)
			select {
			case <-k.ended:
			case <-c.trial.settled:
				k.conn.Close()
			}
		}
		select {
		case <-c.trial.settled:
			return
		case <-time.After(reconnectInterval):
		}
	}
}

// connect opens a connection to the agent; nil if it takes none.
func (c *callers) connect(rng *rand.Rand) *client {
	if !c.accepting.Load() {
		return nil
	}
	life := int(c.lifeIndex.Load())
	conn, err := net.DialTimeout("tcp", c.trial.cluster.Addr(c.agent), 500*time.Millisecond)
	if err != nil {
		return nil
	}
	k := &client{callers: c, conn: conn, life: life, rng: rng, tries: map[isup.CallID]bool{}, ended: make(chan struct{})}
	go k.read()
	return k
}

// runClient opens a connection and places calls on it until it ends or its time is over.
func (c *callers) runClient(ctx context.Context, rng *rand.Rand, rate func() float64) {
	k := c.connect(rng)
	if k == nil {
		return
	}
	until := time.Now().Add(time.Duration(200+rng.IntN(3000)) * time.Millisecond)
	for ctx.Err() == nil && (time.Now().Before(until) || c.stopping.Load()) {
		select {
		case <-k.ended:
			return
		case <-ctx.Done():
			continue
		case <-c.trial.repeats[c.agent]:
		case <-time.After(time.Duration(rng.ExpFloat64() / rate() * float64(time.Second))):
		}
		if !k.place() {
			return
		}
	}
	k.finish()
}

// finish waits until the tries on a connection have their answers, then closes it.
func (k *client) finish() {
	for deadline := time.Now().Add(maxSettle); time.Now().Before(deadline) && k.waiting() > 0; {
		select {
		case <-k.ended:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
	if tcp, ok := k.conn.(*net.TCPConn); ok && k.rng.Float64() >= abruptShare {
		tcp.CloseWrite()
		select {
		case <-k.ended:
		case <-time.After(200 * time.Millisecond):
		}
	}
	k.close()
}

func (k *client) waiting() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.tries)
}

// close closes the connection; no answer is owed to the tries on it any more.
func (k *client) close() {
	k.mu.Lock()
	k.closed = true
	for id := range k.tries {
		k.callers.trial.recorder.with(id, func(c *record) { c.abandoned = time.Now() })
	}
	k.mu.Unlock()
	k.conn.Close()
}

// place sends one set-up. It returns false if the connection can't be used any more.
func (k *client) place() bool {
	t, rng := k.callers.trial, k.rng
	class := t.Deployment.Classes[rng.IntN(len(t.Deployment.Classes))]
	left := class.Deadline
	if class.TryShare > 0 {
		left = time.Duration(class.TryShare * float64(left))
	}
	if rng.Float64() < hurriedShare {
		left = time.Duration(1 + rng.Int64N(int64(longestHurried)))
	}
	id := isup.CallID(t.lastID.Add(1))
	c := &record{id: id, agent: k.callers.agent, life: k.life, class: class.Name, left: left}
	b := t.setUp(id, class.Name, left, rng)
	t.cluster.World.Check.AddCall(id)
	t.recorder.mu.Lock()
	t.recorder.records[id] = c
	t.recorder.mu.Unlock()
	whole := rng.Float64() >= halfShare
	if !whole {
		b = b[:1+rng.IntN(len(b)-1)]
	}
	k.mu.Lock()
	k.tries[id] = true
	k.mu.Unlock()
	err := k.write(b, rng.Float64() < inPiecesShare)
	if whole && err == nil {
		t.recorder.with(id, func(c *record) { c.sentAt = time.Now() })
	}
	if err != nil || !whole || rng.Float64() < leavesShare {
		k.close()
		return false
	}
	if rng.Float64() < givesUpShare {
		time.AfterFunc(time.Duration(rng.Int64N(int64(200*time.Millisecond))), func() { k.giveUp(id) })
	}
	return true
}

// setUp encodes a set-up with a tenant and a first choice drawn at random.
func (t *trial) setUp(id isup.CallID, class string, left time.Duration, rng *rand.Rand) []byte {
	return t.setUpDescribed(id, class, left, "offer "+id.String(), rng)
}

func (t *trial) setUpDescribed(id isup.CallID, class string, left time.Duration, description string, rng *rand.Rand) []byte {
	m := isup.Message{Type: isup.SetUp, Call: id}.WithText(isup.Class, class).WithMillis(isup.TimeLeft, left).
		WithText(isup.Number, fmt.Sprintf("%016x", rng.Uint64())).WithText(isup.Figures, fmt.Sprintf("dest:%d;width:1;via:-1", rng.IntN(t.Servers))).
		WithText(isup.Description, description)
	if tenants := t.Deployment.Tenants; len(tenants) > 0 {
		m = m.WithText(isup.Tenant, tenants[rng.IntN(len(tenants))].Name)
	}
	return encoded(m)
}

// write writes a message, in pieces if asked for.
func (k *client) write(b []byte, inPieces bool) error {
	k.writing.Lock()
	defer k.writing.Unlock()
	for inPieces && len(b) > 1 {
		n := 1 + k.rng.IntN(len(b)-1)
		if _, err := k.conn.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
		time.Sleep(time.Duration(k.rng.Int64N(int64(longestPieceGap))))
	}
	_, err := k.conn.Write(b)
	return err
}

// giveUp gives a try up that has no answer yet.
func (k *client) giveUp(id isup.CallID) {
	k.mu.Lock()
	open := k.tries[id] && !k.closed
	if open {
		delete(k.tries, id)
		k.callers.trial.recorder.with(id, func(c *record) { c.abandoned = time.Now() })
	}
	k.mu.Unlock()
	if open {
		k.release(id)
	}
}

func (k *client) release(id isup.CallID) error {
	return k.write(encoded(isup.Message{Type: isup.Release, Call: id}.WithCause(isup.Normal)), false)
}

// read records what comes on the connection until it ends.
func (k *client) read() {
	var err error
	for in := bufio.NewReader(k.conn); ; {
		var m isup.Message
		if m, err = isup.Read(in); err != nil {
			break
		}
		k.receive(m)
	}
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for id := range k.tries {
		k.callers.trial.recorder.with(id, func(c *record) { c.connEnded, c.connError = now, err.Error() })
	}
	k.conn.Close()
	close(k.ended)
}

func (k *client) receive(m isup.Message) {
	now := time.Now()
	recorder := k.callers.trial.recorder
	k.mu.Lock()
	waiting := k.tries[m.Call]
	delete(k.tries, m.Call)
	k.mu.Unlock()
	switch m.Type {
	case isup.Answer:
		recorder.with(m.Call, func(c *record) {
			c.answers = append(c.answers, answer{now, true, m.Text(isup.Description)})
			if !c.abandoned.IsZero() { // the answer has crossed the caller's release
				c.released = c.abandoned
			}
		})
		if waiting {
			k.stands(m.Call)
		}
	case isup.Release:
		recorder.with(m.Call, func(c *record) {
			refusedBefore := len(c.answers) > 0 && !c.answers[0].served && k.life == c.life
			if waiting || refusedBefore {
				c.answers = append(c.answers, answer{at: now})
			} else {
				c.endsRead = append(c.endsRead, now)
			}
		})
		if waiting && float64(m.Call%100)/100 < repeatsShare {
			go k.repeat()
		}
	case isup.TestResult, isup.Released, isup.Progress:
	default:
		recorder.report("unreadable", "message of type %d to callers of a%d", m.Type, k.callers.agent)
	}
}

// stands has the caller release some of the calls that stand after a while.
func (k *client) stands(id isup.CallID) {
	if float64(id%100)/100 >= releasesShare {
		return
	}
	time.AfterFunc(time.Duration(id%7)*100*time.Millisecond, func() {
		k.mu.Lock()
		closed := k.closed
		k.mu.Unlock()
		if closed {
			return
		}
		k.callers.trial.recorder.with(id, func(c *record) { c.released = time.Now() })
		if k.release(id) != nil {
			k.callers.trial.recorder.with(id, func(c *record) { c.released = time.Time{} })
			return
		}
		time.AfterFunc(crossingWithin, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.callers.trial.recorder.with(id, func(c *record) { c.releaseTaken = !k.closed })
		})
	})
}

// repeat sends a refused call again at once, whatever the agent asked for.
func (k *client) repeat() {
	t := k.callers.trial
	select {
	case <-k.ended:
	case <-t.loadEnded:
	case t.repeats[k.callers.agent] <- struct{}{}:
	default:
	}
}

// badCaller opens connections to an agent and does on them what no caller should.
func (c *callers) badCaller(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		lab.Sleep(ctx, time.Duration(rng.IntN(400))*time.Millisecond)
		if !c.accepting.Load() {
			continue
		}
		conn, err := net.DialTimeout("tcp", c.trial.cluster.Addr(c.agent), 500*time.Millisecond)
		if err != nil {
			continue
		}
		c.misbehave(ctx, conn, rng)
		conn.Close()
	}
}

func (c *callers) misbehave(ctx context.Context, conn net.Conn, rng *rand.Rand) {
	unknown := isup.CallID(c.trial.lastID.Add(1))
	switch rng.IntN(6) {
	case 0:
		conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	case 1:
		conn.Write([]byte{0xff, 0xff, 1})
		lab.Sleep(ctx, time.Duration(rng.IntN(1000))*time.Millisecond)
	case 2:
		conn.Write(c.trial.setUp(unknown, "no such class", time.Second, rng))
		lab.Sleep(ctx, 50*time.Millisecond)
	case 3:
		b := c.trial.setUp(unknown, c.trial.Deployment.Classes[0].Name, time.Second, rng)
		conn.Write(b[:len(b)/2])
		lab.Sleep(ctx, time.Duration(rng.IntN(1500))*time.Millisecond)
	case 4:
		for range 30 {
			conn.Write(encoded(isup.Message{Type: isup.Release, Call: unknown}.WithCause(isup.Normal)))
		}
	case 5:
		lab.Sleep(ctx, time.Duration(rng.IntN(1500))*time.Millisecond)
	}
}

// crowd holds idle connections to an agent until ctx ends.
func (c *callers) crowd(ctx context.Context, connections int) {
	var open []net.Conn
	for ctx.Err() == nil {
		for c.accepting.Load() && len(open) < connections && ctx.Err() == nil {
			conn, err := net.DialTimeout("tcp", c.trial.cluster.Addr(c.agent), 200*time.Millisecond)
			if err != nil {
				break
			}
			open = append(open, conn)
		}
		lab.Sleep(ctx, time.Second)
		for _, conn := range open {
			conn.Close()
		}
		open = nil
	}
}

var _ emulator.Observer = (*recorder)(nil)
