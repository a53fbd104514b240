package trunk

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
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

// Errors of attempts that the agent itself ends, or infers to have ended. The texts reach callers in error
// messages.
var (
	errBusy           = errors.New("too much waits for this server")
	errNotAccepting   = errors.New("the server drains or is gone")
	errExpired        = errors.New("its time ran out before it was written")
	errGivenUp        = errors.New("given up")
	errDied           = errors.New("the server has died")
	errNoFirstMessage = errors.New("connected, but the server says nothing")
	errTruncated      = errors.New("a message stopped half-way")
	errStalled        = errors.New("the server answers on another connection, and not on this one")
	errNotClosed      = errors.New("the server has not closed its side")
	errStopped        = errors.New("the agent stops")
)

func newFailure(server string, stage agent.Stage, r policy.Result, err error) *agent.Failure {
	return &agent.Failure{Stage: stage, Result: r, Server: server, Err: err}
}

// attempt is a set-up that was sent and not yet answered, or a call that stands.
type attempt struct {
	index   int // of the attempt within its call, from 0
	sent    time.Time
	link    *link
	stands  bool
	stoodAt time.Time // when the answer came
}

// serverActor is the actor of one setup server. Unless noted otherwise, its fields belong to the actor's
// goroutine.
type serverActor struct {
	cfg             Config
	core            Core
	log             *slog.Logger
	mailbox         *mailbox.Queue[func()]
	serverID        string // the server's id; never changes
	server          agent.Server
	link            *link              // connection for new set-ups; nil: none is up
	dialing         bool               // a dial is in progress
	retiredLinks    map[*link]struct{} // replaced connections kept open for their unanswered set-ups
	lastExtraDial   time.Time          // when a second connection was last dialled
	cancelDial      context.CancelFunc // cancels the dial in progress
	waiting         []agent.Attempt    // set-ups that wait for a connection
	open            map[isup.CallID]*attempt
	unconfirmed     recent.Set[isup.CallID]   // attempts that ended without a message from the server
	dueReleases     releaseQueue              // releases to send on the next connection
	unknownReleases releaseQueue              // the same of unknown calls; they cause no dial
	acknowledges    bool                      // the server acknowledges releases
	sendsStates     bool                      // the server sends its state unasked, not only first on a connection
	lastReleaseDial time.Time                 // when a dial for releases alone last took a slot
	lastReceived    time.Time                 // time of the latest message on any connection
	answerDelay     time.Duration             // moving average of the server's answer delay
	statedWait      time.Duration             // processor wait that the server stated last
	statedWaitAt    time.Time                 // when the server stated it
	probes          map[isup.CallID]time.Time // start times of the probes in progress
	lastProbe       isup.CallID
	dialFailures    int                 // consecutive failed dials
	resetAt         time.Time           // when a connection was reset since the latest one came up; zero: none was
	suspected       []*suspectedRestart // losses of contact after which the process may be another
	sentCount       *atomic.Int64       // the pool's count of completely written set-ups
	connCount       *atomic.Int64       // the pool's count of connections, including dials in progress
	slots           *slots
	reportedUsage   usage           // usage last reported to slots
	slotUsed        bool            // report the usage after this event even if it is unchanged
	slotFreed       <-chan struct{} // closed once the evicted connection has ended; nil: no need to wait
	retryScheduled  bool            // a new dial is scheduled because no slot was free
	stopped         bool
	finished        atomic.Bool // the server is gone and nothing is open: the pool may drop the actor
	// notAccepting is set by the pool as soon as the server drains or is gone, while the update may still
	// wait in the mailbox.
	notAccepting atomic.Bool
	buf          []byte

	withdrawn bool // belongs to the pool: the server is gone by the latest update

	// The fields below are guarded by slots.mu.
	readDone                     <-chan struct{} // closed once the latest connection has ended
	countedLinked, countedFailed bool            // counted as having a connection; its latest dial as failed
}

func newServerActor(cfg Config, core Core, s agent.Server, sent, conns *atomic.Int64, connSlots *slots) *serverActor {
	return &serverActor{connCount: conns, slots: connSlots, cfg: cfg, core: core, log: cfg.Log.With("server", s.ID), serverID: s.ID, server: s, sentCount: sent,
		mailbox: mailbox.New[func()](cfg.Mailbox), open: map[isup.CallID]*attempt{}, retiredLinks: map[*link]struct{}{},
		probes: map[isup.CallID]time.Time{}, lastReceived: time.Now(),
		dueReleases: releaseQueue{limit: maxDueReleases}, unknownReleases: releaseQueue{limit: maxUnknownReleases}}
}

func (sa *serverActor) post(f func()) { sa.mailbox.Post(f) }

func (sa *serverActor) run() {
	for {
		f, ok := sa.mailbox.Take()
		if !ok {
			return
		}
		sa.runRecovered(f)
		sa.reportUsage()
	}
}

// runRecovered runs f. A panic ends only this server's connection and the set-ups on it.
func (sa *serverActor) runRecovered(f func()) {
	defer func() {
		if r := recover(); r != nil {
			sa.log.Error("panic at a setup server's connection", "reason", r, "stack", string(debug.Stack()))
			if sa.link != nil {
				sa.linkLost(sa.link, fmt.Errorf("panic: %v", r))
			}
		}
	}()
	f()
}

// update applies a change of the server's entry. A new address requires a new connection; a later start means
// that all calls from before it were cut.
func (sa *serverActor) update(s agent.Server) {
	old := sa.server
	sa.server = s
	sa.finished.Store(false)
	if s.Address != old.Address && sa.link != nil {
		sa.log.Info("setup server has moved", "from", old.Address, "to", s.Address)
	}
	if s.Address != old.Address {
		sa.closeAllLinks(errDied)
	}
	if s.ReadyAt > old.ReadyAt {
		sa.cutCallsBefore(time.Unix(0, int64(s.ReadyAt)))
	}
	switch s.State {
	case policy.Up:
		sa.connectSoon()
	case policy.Draining:
		sa.failWaiting(agent.Unwritten, policy.NotSent, errNotAccepting)
		sa.connectSoon()
		if sa.link != nil {
			sa.scheduleCheck(sa.link)
		}
	case policy.Gone:
		sa.withdraw()
	}
}

// withdraw ends all that is still open at the server. A server is withdrawn once its process has stopped, and
// then no message reports the ends of its calls.
func (sa *serverActor) withdraw() {
	sa.server.State = policy.Gone
	sa.failWaiting(agent.Unwritten, policy.NotSent, errNotAccepting)
	sa.closeAllLinks(errDied)
	sa.cutCallsBefore(time.Now())
	sa.dueReleases.takeAll()
	sa.unknownReleases.takeAll()
	sa.finished.Store(true)
}

// cutCallsBefore ends the calls that stood before the given time, at which the server had lost all its calls.
func (sa *serverActor) cutCallsBefore(when time.Time) {
	for id, a := range sa.open {
		if a.stands && a.stoodAt.Before(when) {
			sa.endAttempt(id, a, newFailure(sa.server.ID, agent.Stood, policy.Cut, errDied), policy.EmptyReport())
		}
	}
}

func (sa *serverActor) endAttempt(id isup.CallID, a *attempt, err *agent.Failure, r policy.Report) {
	delete(sa.open, id)
	if err != nil && err.Stage == agent.Written {
		sa.unconfirmed.Add(id)
	}
	if !a.stands {
		sa.setUpDone(a.link)
	}
	sa.core.Ended(id.String(), a.index, err, r)
}

func (sa *serverActor) setUp(a agent.Attempt) {
	accepting := sa.server.State == policy.Up && !sa.stopped
	if accepting && !sa.acquireSlot(subset.ForCall) { // fail at once: another server may have a slot
		sa.core.Ended(a.ID, a.Index, newFailure(sa.server.ID, agent.Unwritten, policy.NotSent, errNoSlot), policy.EmptyReport())
		return
	}
	if sa.link == nil && accepting {
		sa.waiting = append(sa.waiting, a)
		// Each set-up has its own timeout, because the dial in progress may have started before it.
		time.AfterFunc(sa.cfg.ConnectTimeout, func() { sa.post(func() { sa.connectTimedOut(a.ID, a.Index) }) })
		sa.connect()
		return
	}
	sa.writeSetUp(a)
}

// writeSetUp sends a set-up. It checks the conditions once more, because a drain, the deadline or the
// caller's cancellation may have come during a dial, a wait in a full mailbox or a blocked write. A drain or
// a cancellation is recorded where this check sees it at once, since a message to this actor may wait behind
// the set-up.
func (sa *serverActor) writeSetUp(a agent.Attempt) {
	remaining := time.Until(a.Deadline)
	unwritten := func(r policy.Result, err error) {
		sa.core.Ended(a.ID, a.Index, newFailure(sa.server.ID, agent.Unwritten, r, err), policy.EmptyReport())
	}
	id, err := isup.ParseCallID(a.ID)
	switch {
	case err != nil:
		unwritten(policy.NotSent, err)
		return
	case sa.stopped:
		unwritten(policy.NotSent, errStopped)
		return
	case sa.server.State != policy.Up || sa.notAccepting.Load():
		unwritten(policy.NotSent, errNotAccepting)
		return
	case a.CancelCause() != nil:
		unwritten(policy.NotSent, errGivenUp)
		return
	case remaining < time.Millisecond:
		unwritten(policy.NotSent, errExpired)
		return
	case sa.open[id] != nil:
		unwritten(policy.NotSent, agent.ErrDuplicate)
		return
	}
	m := isup.Message{Type: isup.SetUp, Call: id}.WithText(isup.Class, a.Class).
		WithMillis(isup.TimeLeft, remaining)
	if a.Number != "" {
		m = m.WithText(isup.Number, a.Number)
	}
	if a.Description != nil {
		m = m.With(isup.Description, a.Description)
	}
	link := sa.link
	n, err := sa.send(link, m)
	if err != nil && n <= 0 {
		unwritten(policy.NotSent, err)
	} else { // a partial write may have been enough: the attempt ends with the connection
		sa.open[id] = &attempt{index: a.Index, sent: time.Now(), link: link}
		if link.unanswered++; link.unanswered == 1 {
			link.unansweredSince = time.Now()
		}
		sa.scheduleCheck(link)
	}
	if err == nil {
		sa.sentCount.Add(1)
		if sa.cfg.OnSetUpSent != nil {
			sa.cfg.OnSetUpSent(a.Class, sa.server.Zone)
		}
	}
	if err != nil && n >= 0 {
		sa.linkLost(link, err)
	}
}

// send writes a message and returns the number of bytes written, or -1 if the message cannot be encoded.
func (sa *serverActor) send(l *link, m isup.Message) (int, error) {
	b, err := m.Append(sa.buf[:0])
	if err != nil {
		return -1, err
	}
	sa.buf, sa.slotUsed = b, true
	l.conn.SetWriteDeadline(time.Now().Add(sa.cfg.WriteTimeout))
	return l.conn.Write(b)
}

// giveUp ends an attempt that waits or is unanswered, or a call that stands. It reports the end only once the
// release is written: from then on the call may count the time until its next attempt.
func (sa *serverActor) giveUp(callID string, index int, why policy.Result) {
	if sa.dequeue(callID, index) {
		sa.core.Ended(callID, index, newFailure(sa.server.ID, agent.Unwritten, why, errGivenUp), policy.EmptyReport())
		return
	}
	id, err := isup.ParseCallID(callID)
	a := sa.open[id]
	if err != nil || a == nil || a.index != index { // it has already ended, which was reported
		return
	}
	stage, on := agent.Written, a.link // an unanswered set-up is released on the connection that it was sent on
	if a.stands {
		stage, on = agent.Stood, sa.link
	}
	sa.sendRelease(on, id)
	if sa.open[id] == a {
		sa.endAttempt(id, a, newFailure(sa.server.ID, stage, why, errGivenUp), policy.EmptyReport())
	}
}

// connectSoon opens a connection after a random delay of up to Config.Jitter. All processes of a fleet learn
// of a new server, or come back from a restart, at the same moment, and must not dial together. A set-up does
// not wait for this delay.
func (sa *serverActor) connectSoon() {
	if sa.link == nil && !sa.dialing && sa.dialFailures == 0 {
		time.AfterFunc(sa.cfg.randomDelay(sa.cfg.Jitter), func() { sa.post(sa.connect) })
	}
}

// uniformDelay returns a random duration from 0 to d.
func uniformDelay(d time.Duration) time.Duration { return rand.N(max(d, 1)) }

// connect dials unless a connection is up or being dialled. Every server that is not gone keeps a connection, also one
// that drains: it may hold calls of an earlier process of this agent, whose ends it can report on a connection only.
func (sa *serverActor) connect() {
	if sa.link == nil {
		sa.dial()
	}
}

// dial opens a connection in a goroutine of its own, if one more is allowed.
func (sa *serverActor) dial() {
	if sa.dialing || sa.stopped || sa.server.State == policy.Gone {
		return
	}
	if !sa.reserveConn() {
		return
	}
	sa.dialing = true
	freed := sa.slotFreed
	sa.slotFreed = nil
	ctx, cancel := context.WithTimeout(context.Background(), sa.cfg.ConnectTimeout)
	sa.cancelDial = cancel
	address := sa.server.Address
	go func() {
		defer cancel()
		var conn net.Conn
		err := awaitSlot(ctx.Done(), freed, sa.cfg.yieldTimeout)
		if err == nil {
			conn, err = sa.cfg.Dial(ctx, address)
		}
		if conn != nil {
			conn = &countedConn{Conn: conn, count: sa.connCount}
		} else {
			sa.connCount.Add(-1)
		}
		if !sa.mailbox.Post(func() { sa.dialDone(address, conn, err) }) && conn != nil {
			conn.Close()
		}
	}()
}

// dialDone handles the result of a dial. A new connection takes over from the one in use, which stays open
// for its unanswered set-ups.
func (sa *serverActor) dialDone(address string, conn net.Conn, err error) {
	sa.dialing = false
	if errors.Is(err, errNoSlot) {
		sa.slotTimedOut()
		return
	}
	if err == nil && (sa.stopped || sa.server.State == policy.Gone || address != sa.server.Address) {
		conn.Close()
		err = errNotAccepting
	}
	if err != nil {
		sa.dialFailed(err)
		return
	}
	if sa.dialFailures > 0 {
		sa.log.Info("setup server reached again", "after", sa.dialFailures)
	}
	sa.suspectRestart()
	sa.dialFailures = 0
	l := &link{conn: conn, openedAt: time.Now(), lastReceived: time.Now(), readDone: make(chan struct{})}
	if old := sa.link; old != nil {
		old.retired, old.retiredAt = true, time.Now()
		sa.retiredLinks[old] = struct{}{}
		if old.unanswered == 0 {
			sa.linger(old)
		}
	}
	sa.link = l
	sa.log.Debug("connected to setup server", "address", address, "local", conn.LocalAddr(), "replaced", len(sa.retiredLinks))
	sa.slots.setLink(sa, l)
	go sa.readLoop(l)
	if len(sa.retiredLinks) > 0 && sa.cfg.Probes {
		sa.probe()
	}
	sa.checkLink(l)
	sa.sendDueReleases()
	waiting := sa.waiting
	sa.waiting = nil
	for _, a := range waiting {
		sa.setUp(a)
	}
}

// dialFailed handles a dial that failed. A refused connection proves that no process listens; silence proves
// that the machine is gone only after Config.SilenceTimeout.
func (sa *serverActor) dialFailed(err error) {
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if refused && sa.link != nil {
		// The machine answers and has not reset the existing connection, so the process is alive but no
		// longer listens, as during a drain. Its calls still stand.
		sa.link.lastReceived, sa.lastReceived = time.Now(), time.Now()
		return
	}
	if sa.dialFailures++; sa.dialFailures == 1 {
		sa.log.Warn("setup server not reached", "address", sa.server.Address, "error", err)
	}
	sa.failWaiting(agent.Unconnected, policy.Unreachable, err)
	if sa.link != nil { // it was silent, and the failed dial confirms that it stalled
		sa.cfg.adaptive.recordStall()
		sa.linkLost(sa.link, err)
	}
	switch {
	case refused:
		time.AfterFunc(sa.cfg.CutGrace, func() { sa.post(sa.processEnded) })
	case time.Since(sa.lastReceived) > sa.cfg.SilenceTimeout:
		sa.presumeDead()
	}
	time.AfterFunc(sa.cfg.RedialInterval/2+sa.cfg.randomDelay(sa.cfg.RedialInterval), func() { sa.post(sa.connect) })
}

// processEnded ends the calls of a process that no longer exists, unless a connection has come up meanwhile. Nothing is
// left to release.
func (sa *serverActor) processEnded() {
	if sa.link == nil {
		sa.cutCallsBefore(time.Now())
		sa.dueReleases.takeAll()
	}
}

// presumeDead ends the calls at a server that has been silent for long, unless a connection has come up meanwhile. It
// may merely be cut off, and go on with its calls: they are released once it is reached again.
func (sa *serverActor) presumeDead() {
	if sa.link != nil {
		return
	}
	for id, a := range sa.open {
		if a.stands {
			sa.endAttempt(id, a, newFailure(sa.server.ID, agent.Stood, policy.Cut, errDied), policy.EmptyReport())
			sa.dueReleases.add(release{id: id})
		}
	}
}

// minConnectionLife is how long after its start a connection that has ended is replaced at the earliest, unless a set-up
// waits: a server may end every idle connection at once.
const minConnectionLife = 250 * time.Millisecond

// replaceEnded opens a connection in place of one that has ended.
func (sa *serverActor) replaceEnded(ended *link) {
	pause := minConnectionLife - time.Since(ended.openedAt)
	if pause <= 0 || len(sa.waiting) > 0 {
		sa.connect()
		return
	}
	time.AfterFunc(pause, func() { sa.post(sa.connect) })
}

func (sa *serverActor) failWaiting(stage agent.Stage, r policy.Result, err error) {
	waiting := sa.waiting
	sa.waiting = nil
	for _, a := range waiting {
		sa.core.Ended(a.ID, a.Index, newFailure(sa.server.ID, stage, r, err), policy.EmptyReport())
	}
}

// connectTimedOut ends a set-up that got no connection within Config.ConnectTimeout.
func (sa *serverActor) connectTimedOut(id string, index int) {
	if sa.dequeue(id, index) {
		sa.core.Ended(id, index, newFailure(sa.server.ID, agent.Unconnected, policy.Unreachable,
			context.DeadlineExceeded), policy.EmptyReport())
	}
}

// dequeue removes a set-up from those that wait for a connection, and reports whether it was there.
func (sa *serverActor) dequeue(id string, index int) bool {
	i := slices.IndexFunc(sa.waiting, func(w agent.Attempt) bool { return w.ID == id && w.Index == index })
	if i >= 0 {
		sa.waiting = slices.Delete(sa.waiting, i, i+1)
	}
	return i >= 0
}

// readLoop is the goroutine that reads a connection.
func (sa *serverActor) readLoop(l *link) {
	defer close(l.readDone)
	var latest messageHead
	err := sa.readMessages(l, &latest)
	if err == errStopped {
		io.Copy(io.Discard, l.conn)
		return
	}
	sa.post(func() {
		sa.linkLost(l, err)
		sa.endTruncatedRelease(latest)
	})
}

// readMessages reads messages until the connection ends. latest holds the head of a message that was not read
// completely.
func (sa *serverActor) readMessages(l *link, latest *messageHead) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v", r)
		}
	}()
	messages := &messageReader{conn: l.conn, interval: sa.cfg.MessageInterval}
	buffered := bufio.NewReaderSize(messages, 4<<10)
	for {
		messages.endMessage()
		if _, err := buffered.Peek(1); err != nil {
			return err
		}
		messages.beginMessage()
		*latest = (*latest)[:0]
		m, err := isup.Read(io.TeeReader(buffered, latest))
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return errTruncated
		}
		if err != nil {
			return err
		}
		*latest = (*latest)[:0]
		if !sa.mailbox.Put(func() { sa.receive(l, m) }) {
			return errStopped
		}
	}
}

// linkLost closes a connection and ends its unanswered set-ups. Calls that stand outlive it, and the next
// dial shows whether their server is alive.
func (sa *serverActor) linkLost(l *link, err error) {
	sa.logLinkLost(l, err)
	if resetByServer(err) {
		sa.resetAt = time.Now()
	}
	sa.discard(l)
	if sa.link == l {
		sa.link = nil
	}
	sa.resendReleases(l, err)
	for id, a := range sa.open {
		if a.link == l && !a.stands {
			sa.endAttempt(id, a, newFailure(sa.server.ID, agent.Written, policy.Cut, err), policy.EmptyReport())
			sa.sendRelease(sa.link, id) // its answer may have been lost, and then a call stands at the server
		}
	}
	sa.replaceEnded(l)
}

// logLinkLost logs the end of a connection that was in use or replaced. Other connections have ended before.
func (sa *serverActor) logLinkLost(l *link, err error) {
	text := "connection to setup server ended"
	switch {
	case l.closing:
		return
	case l.retired:
		text = "replaced connection to setup server ended"
	case sa.link != l:
		return
	}
	level := slog.LevelInfo
	if errors.Is(err, errNoSlot) { // happens as often as another server needs the slot for a call
		level = slog.LevelDebug
	}
	sa.log.Log(context.Background(), level, text, "error", err, "out", l.unanswered, "local", l.conn.LocalAddr())
}

// closeAllLinks closes the connection in use and the retired ones, and ends their unanswered set-ups.
func (sa *serverActor) closeAllLinks(err error) {
	if sa.link != nil {
		sa.linkLost(sa.link, err)
	}
	for l := range sa.retiredLinks {
		sa.linkLost(l, err)
	}
}

// stop closes the connections without waiting for unanswered set-ups. What was written last, such as the
// release of a call, must still reach the server, and closing a connection that has unread bytes would reset
// it. So stop ends the sending side first and waits, for Config.StopLinger at most, until the server ends the
// connection.
func (sa *serverActor) stop() {
	sa.stopped = true
	sa.failWaiting(agent.Unwritten, policy.NotSent, errStopped)
	if sa.cancelDial != nil {
		sa.cancelDial()
	}
	links := maps.Clone(sa.retiredLinks)
	if sa.link != nil {
		links[sa.link] = struct{}{}
	}
	lingerCtx, cancel := context.WithTimeout(context.Background(), sa.cfg.StopLinger)
	defer cancel()
	for l := range links {
		conn, ok := l.conn.(*countedConn)
		if !ok || conn.CloseWrite() != nil {
			l.conn.Close()
		}
	}
	for l := range links {
		select {
		case <-l.readDone:
		case <-lingerCtx.Done():
		}
		l.conn.Close()
	}
}
