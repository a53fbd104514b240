package trunk

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"woodrouter/agent"
	"woodrouter/internal/mailbox"
	"woodrouter/internal/recent"
	"woodrouter/isup"
	"woodrouter/policy"
	"woodrouter/subset"
)

// Ends of attempts that the agent itself brings about or infers.
var (
	errBusy    = errors.New("too much waits for this server")
	errState   = errors.New("the server drains or is gone")
	errLate    = errors.New("its time ran out before it was written")
	errGivenUp = errors.New("given up")
	errDied    = errors.New("the server has died")
	errMute    = errors.New("connected, but the server says nothing")
	errHalf    = errors.New("a message stopped half-way")
	errStalled = errors.New("the server answers on another connection, and not on this one")
	errStopped = errors.New("the agent stops")
)

func failure(server string, stage agent.Stage, r policy.Result, err error) *agent.Failure {
	return &agent.Failure{Stage: stage, Result: r, Server: server, Err: err}
}

// attempt is a set-up that is out, or a call that stands.
type attempt struct {
	n      int
	sent   time.Time
	link   *link
	stands bool
	since  time.Time // when it came to stand
}

// trunk is the actor of one setup server. Its fields belong to its goroutine.
type trunk struct {
	cfg      Config
	core     Core
	log      *slog.Logger
	box      *mailbox.Box[func()]
	name     string // of the server
	server   agent.Server
	link     *link // takes new set-ups; nil: no connection is up
	dialing  bool
	retired  int                // connections that wait for their last set-ups
	tried    time.Time          // when a connection beside the one in use was tried last
	cancel   context.CancelFunc // of the dial
	waiting  []agent.Attempt    // for a connection
	open     map[isup.CallID]*attempt
	over     recent.Set[isup.CallID] // attempts that ended without a word of the server
	unsaid   []isup.CallID           // releases for the next connection
	unknown  []isup.CallID           // releases that may be this server's, for whenever there is one
	heard    time.Time               // latest message on any connection
	delay    time.Duration           // of answers lately
	queued   time.Duration           // the processor's wait that the server stated last
	queuedAt time.Time               // when it stated it
	probes   map[isup.CallID]time.Time
	probeNo  isup.CallID
	failures int           // dials in a row that brought no connection
	sent     *atomic.Int64 // the pool's count of set-ups written whole
	conns    *atomic.Int64 // and of connections, those on their way included
	places   *places
	told     usage           // what the places know of this one
	touched  bool            // they are to hear, whatever has changed
	freed    <-chan struct{} // closed once the connection has ended whose place was taken
	resting  bool            // a connection that found no place is tried again later
	stopped  bool
	finished atomic.Bool // gone, with nothing open: the pool may forget it
	barred   atomic.Bool // the pool's latest news: it drains or is gone, whatever waits in the mailbox
	buf      []byte

	withdrawn bool // the pool's: it is gone by the latest news

	reading         <-chan struct{} // the places': closed once the latest connection has ended
	counted, failed bool            // the places': it has a connection; its latest did not come up
}

func newTrunk(cfg Config, core Core, s agent.Server, sent, conns *atomic.Int64, places *places) *trunk {
	return &trunk{conns: conns, places: places, cfg: cfg, core: core, log: cfg.Log.With("server", s.ID), name: s.ID, server: s, sent: sent,
		box: mailbox.New[func()](cfg.Mailbox), open: map[isup.CallID]*attempt{},
		probes: map[isup.CallID]time.Time{}, heard: time.Now()}
}

func (t *trunk) post(f func()) { t.box.Post(f) }

func (t *trunk) run() {
	for {
		f, ok := t.box.Take()
		if !ok {
			return
		}
		t.guard(f)
		t.account()
	}
}

// guard keeps a panic to this server's connection: it ends, and what was out on it.
func (t *trunk) guard(f func()) {
	defer func() {
		if r := recover(); r != nil {
			t.log.Error("panic at a setup server's connection", "reason", r, "stack", string(debug.Stack()))
			if t.link != nil {
				t.lost(t.link, fmt.Errorf("panic: %v", r))
			}
		}
	}()
	f()
}

// listed takes news of the server. A new address means another connection; a later
// start, that all calls from before it were cut.
func (t *trunk) listed(s agent.Server) {
	old := t.server
	t.server = s
	t.finished.Store(false)
	if s.Address != old.Address && t.link != nil {
		t.log.Info("setup server has moved", "from", old.Address, "to", s.Address)
		t.lost(t.link, errDied)
	}
	if s.ReadyAt > old.ReadyAt {
		t.cutBefore(time.Unix(0, int64(s.ReadyAt)))
	}
	switch s.State {
	case policy.Up:
		t.connectSoon()
	case policy.Draining:
		t.refuseWaiting(agent.Unwritten, policy.NotSent, errState)
	case policy.Gone:
		t.gone()
	}
}

// gone ends all that is left: a server is withdrawn once its process has stopped, and
// then nobody else will tell of the calls it held.
func (t *trunk) gone() {
	t.server.State = policy.Gone
	t.refuseWaiting(agent.Unwritten, policy.NotSent, errState)
	if t.link != nil {
		t.lost(t.link, errDied)
	}
	t.cutBefore(time.Now())
	t.unsaid = nil
	t.finished.Store(true)
}

// cutBefore ends the calls that came to stand before a moment at which the server had
// lost them all.
func (t *trunk) cutBefore(when time.Time) {
	for id, a := range t.open {
		if a.stands && a.since.Before(when) {
			t.end(id, a, failure(t.server.ID, agent.Stood, policy.Cut, errDied), policy.EmptyReport())
		}
	}
}

func (t *trunk) end(id isup.CallID, a *attempt, err *agent.Failure, r policy.Report) {
	delete(t.open, id)
	if err != nil && err.Stage == agent.Written {
		t.over.Add(id)
	}
	if !a.stands {
		t.settled(a.link)
	}
	t.core.Ended(id.String(), a.n, err, r)
}

func (t *trunk) setUp(a agent.Attempt) {
	open := t.server.State == policy.Up && !t.stopped
	if open && !t.placed(subset.ForCall) { // told at once: another server may have one
		t.core.Ended(a.ID, a.Index, failure(t.server.ID, agent.Unwritten, policy.NotSent, errPlace), policy.EmptyReport())
		return
	}
	if t.link == nil && open {
		t.waiting = append(t.waiting, a)
		// Each wait has its own limit: the dial under way may be older than this set-up.
		time.AfterFunc(t.cfg.ConnectTimeout, func() { t.post(func() { t.tired(a.ID, a.Index) }) })
		t.connect()
		return
	}
	t.write(a)
}

// write sends a set-up. It looks once more, as a dial, a full mailbox or a write that was stuck
// may have outlasted the news of a drain, the deadline or the caller. What it looks at is set by
// whoever knows first, past this actor's mailbox: a message there may wait behind the set-up.
func (t *trunk) write(a agent.Attempt) {
	left := time.Until(a.Deadline)
	unwritten := func(r policy.Result, err error) {
		t.core.Ended(a.ID, a.Index, failure(t.server.ID, agent.Unwritten, r, err), policy.EmptyReport())
	}
	id, err := isup.ParseCallID(a.ID)
	switch {
	case err != nil:
		unwritten(policy.NotSent, err)
		return
	case t.stopped:
		unwritten(policy.NotSent, errStopped)
		return
	case t.server.State != policy.Up || t.barred.Load():
		unwritten(policy.NotSent, errState)
		return
	case a.CancelCause() != nil:
		unwritten(policy.NotSent, errGivenUp)
		return
	case left < time.Millisecond:
		unwritten(policy.NotSent, errLate)
		return
	case t.open[id] != nil:
		unwritten(policy.NotSent, agent.ErrDuplicate)
		return
	}
	m := isup.Message{Type: isup.SetUp, Call: id}.WithText(isup.Class, a.Class).
		WithMillis(isup.TimeLeft, left)
	if a.Number != "" {
		m = m.WithText(isup.Number, a.Number)
	}
	if a.Description != nil {
		m = m.With(isup.Description, a.Description)
	}
	link := t.link
	n, err := t.say(link, m)
	if err != nil && n <= 0 {
		unwritten(policy.NotSent, err)
	} else { // a part of it may have been enough: its end comes with the connection's
		t.open[id] = &attempt{n: a.Index, sent: time.Now(), link: link}
		if link.out++; link.out == 1 {
			link.since = time.Now()
		}
		t.watch(link)
	}
	if err == nil {
		t.sent.Add(1)
		if t.cfg.Wrote != nil {
			t.cfg.Wrote(a.Class, t.server.Zone)
		}
	}
	if err != nil && n >= 0 {
		t.lost(link, err)
	}
}

// say writes a message and tells how many bytes left; -1: it can't be written at all.
func (t *trunk) say(l *link, m isup.Message) (int, error) {
	b, err := m.Append(t.buf[:0])
	if err != nil {
		return -1, err
	}
	t.buf, t.touched = b, true
	l.conn.SetWriteDeadline(time.Now().Add(t.cfg.WriteTimeout))
	return l.conn.Write(b)
}

// giveUp ends an attempt that is out, waits, or stands. The end is told only once the
// give-up is written: from then on the call may count the time until it goes out again.
func (t *trunk) giveUp(callID string, n int, why policy.Result) {
	if t.dequeue(callID, n) {
		t.core.Ended(callID, n, failure(t.server.ID, agent.Unwritten, why, errGivenUp), policy.EmptyReport())
		return
	}
	id, err := isup.ParseCallID(callID)
	a := t.open[id]
	if err != nil || a == nil || a.n != n { // it has ended meanwhile, and that was told
		return
	}
	stage, on := agent.Written, a.link // a set-up is given up where it was sent
	if a.stands {
		stage, on = agent.Stood, t.link
	}
	t.release(on, id)
	if t.open[id] == a {
		t.end(id, a, failure(t.server.ID, stage, why, errGivenUp), policy.EmptyReport())
	}
}

// release writes a release, or keeps it for the next connection: no connection owns a
// call that stands.
func (t *trunk) release(on *link, id isup.CallID) {
	if on == nil || !t.keeps() {
		t.unsaid = append(t.unsaid, id)
		t.connect()
		return
	}
	if _, err := t.say(on, isup.Message{Type: isup.Release, Call: id}.WithCause(isup.Normal)); err != nil {
		t.unsaid = append(t.unsaid, id)
		t.lost(on, err)
	}
}

// connectSoon has a connection ready before long. A fleet hears of a new server, and comes back from
// a restart, at one moment: each process draws when it dials. A set-up does not wait for that.
func (t *trunk) connectSoon() {
	if t.link == nil && !t.dialing && t.failures == 0 {
		time.AfterFunc(t.cfg.draw(t.cfg.Jitter), func() { t.post(t.connectAgain) })
	}
}

// jitter is a time of up to d.
func jitter(d time.Duration) time.Duration { return rand.N(max(d, 1)) }

// connect dials unless a connection is up or on its way.
func (t *trunk) connect() {
	if t.link == nil {
		t.dial()
	}
}

func (t *trunk) dial() {
	if t.dialing || t.stopped || t.server.State == policy.Gone {
		return
	}
	if !t.room() {
		return
	}
	t.dialing = true
	freed := t.freed
	t.freed = nil
	ctx, cancel := context.WithTimeout(context.Background(), t.cfg.ConnectTimeout)
	t.cancel = cancel
	address := t.server.Address
	go func() {
		defer cancel()
		var conn net.Conn
		err := vacated(ctx.Done(), freed, t.cfg.yield)
		if err == nil {
			conn, err = t.cfg.Dial(ctx, address)
		}
		if conn != nil {
			conn = &counted{Conn: conn, of: t.conns}
		} else {
			t.conns.Add(-1)
		}
		if !t.box.Post(func() { t.dialled(address, conn, err) }) && conn != nil {
			conn.Close()
		}
	}()
}

func (t *trunk) dialled(address string, conn net.Conn, err error) {
	t.dialing = false
	if errors.Is(err, errPlace) {
		t.crowded()
		return
	}
	if err == nil && (t.stopped || t.server.State == policy.Gone || address != t.server.Address) {
		conn.Close()
		err = errState
	}
	if err != nil {
		t.unreached(err)
		return
	}
	if t.failures > 0 {
		t.log.Info("setup server reached again", "after", t.failures)
	}
	t.failures = 0
	l := &link{conn: conn, heard: time.Now(), read: make(chan struct{})}
	if old := t.link; old != nil {
		old.retired, old.left = true, time.Now()
		if t.retired++; old.out == 0 {
			t.linger(old)
		}
	}
	t.link = l
	t.places.opened(t, l)
	go t.read(l)
	if t.retired > 0 && t.cfg.Probes {
		t.probe()
	}
	t.listen(l)
	unsaid, waiting := t.unsaid, t.waiting
	t.unsaid, t.waiting = nil, nil
	unsaid, t.unknown = append(unsaid, t.unknown...), nil
	for _, id := range unsaid {
		t.release(t.link, id)
	}
	for _, a := range waiting {
		t.setUp(a)
	}
}

// unreached handles a dial that brought nothing. A refused connection proves that nobody
// listens; silence proves that the machine is gone only when it has lasted.
func (t *trunk) unreached(err error) {
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if refused && t.link != nil {
		// The machine answers and has not reset the connection there is: the process lives and
		// listens no more, as one that drains does. Its calls stand.
		t.link.heard, t.heard = time.Now(), time.Now()
		return
	}
	if t.failures++; t.failures == 1 {
		t.log.Warn("setup server not reached", "address", t.server.Address, "error", err)
	}
	t.refuseWaiting(agent.Unconnected, policy.Unreachable, err)
	if t.link != nil { // it was silent, and this dial was to tell why
		t.cfg.doubts.right()
		t.lost(t.link, err)
	}
	switch {
	case refused:
		time.AfterFunc(t.cfg.CutGrace, func() { t.post(t.died) })
	case time.Since(t.heard) > t.cfg.Silence:
		t.died()
	}
	time.AfterFunc(t.cfg.Redial/2+t.cfg.draw(t.cfg.Redial), func() { t.post(t.connectAgain) })
}

// died ends the calls of a process that is taken for dead, unless it was reached meanwhile.
func (t *trunk) died() {
	if t.link == nil {
		t.cutBefore(time.Now())
		t.unsaid = nil
	}
}

// connectAgain keeps a connection ready, and looks for calls whose server fell silent.
func (t *trunk) connectAgain() {
	if t.server.State == policy.Up || len(t.open) > 0 || len(t.unsaid) > 0 {
		t.connect()
	}
}

func (t *trunk) refuseWaiting(stage agent.Stage, r policy.Result, err error) {
	waiting := t.waiting
	t.waiting = nil
	for _, a := range waiting {
		t.core.Ended(a.ID, a.Index, failure(t.server.ID, stage, r, err), policy.EmptyReport())
	}
}

// tired ends a set-up whose connection did not come up in time.
func (t *trunk) tired(id string, n int) {
	if t.dequeue(id, n) {
		t.core.Ended(id, n, failure(t.server.ID, agent.Unconnected, policy.Unreachable,
			context.DeadlineExceeded), policy.EmptyReport())
	}
}

// dequeue takes a set-up out of those that wait for a connection, if it is there.
func (t *trunk) dequeue(id string, n int) bool {
	i := slices.IndexFunc(t.waiting, func(w agent.Attempt) bool { return w.ID == id && w.Index == n })
	if i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
	}
	return i >= 0
}

// read is the connection's goroutine.
func (t *trunk) read(l *link) {
	defer close(l.read)
	var latest opening
	err := t.readAll(l, &latest)
	if err == errStopped {
		io.Copy(io.Discard, l.conn)
		return
	}
	t.post(func() {
		t.lost(l, err)
		t.cutOff(latest)
	})
}

// readAll reads messages until the connection ends; latest is how the last one began.
func (t *trunk) readAll(l *link, latest *opening) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v", r)
		}
	}()
	from := &source{conn: l.conn, step: t.cfg.MessageTime}
	in := bufio.NewReaderSize(from, 4<<10)
	for {
		from.await()
		if _, err := in.Peek(1); err != nil {
			return err
		}
		from.begin()
		*latest = (*latest)[:0]
		m, err := isup.Read(io.TeeReader(in, latest))
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return errHalf
		}
		if err != nil {
			return err
		}
		*latest = (*latest)[:0]
		if !t.box.Admit(func() { t.hear(l, m) }) {
			return errStopped
		}
	}
}

// lost ends a connection. The set-ups out on it are given up with it; calls that stand
// outlive it, and the next dial tells whether their server does.
func (t *trunk) lost(l *link, err error) {
	t.discard(l)
	if t.link == l {
		t.link = nil
		level := slog.LevelInfo
		if errors.Is(err, errPlace) { // as often as calls are dialled for
			level = slog.LevelDebug
		}
		t.log.Log(context.Background(), level, "connection to setup server ended", "error", err)
	}
	for id, a := range t.open {
		if a.link == l && !a.stands {
			t.end(id, a, failure(t.server.ID, agent.Written, policy.Cut, err), policy.EmptyReport())
			t.release(t.link, id) // its answer may have been lost: then a call stands there
		}
	}
	t.connectAgain()
}

// stop ends the connections; what is out on them is not waited for. What was written last, such as
// the release of a call, must reach the server: a close with bytes unread would reset it.
func (t *trunk) stop() {
	t.stopped = true
	t.refuseWaiting(agent.Unwritten, policy.NotSent, errStopped)
	if t.cancel != nil {
		t.cancel()
	}
	links := map[*link]bool{}
	if t.link != nil {
		links[t.link] = true
	}
	for _, a := range t.open {
		if a.link.retired {
			links[a.link] = true
		}
	}
	lingers, over := context.WithTimeout(context.Background(), t.cfg.StopLinger)
	defer over()
	for l := range links {
		half, ok := l.conn.(*counted)
		if !ok || half.CloseWrite() != nil {
			l.conn.Close()
		}
	}
	for l := range links {
		select {
		case <-l.read:
		case <-lingers.Done():
		}
		l.conn.Close()
	}
}
