// Package bulletin follows the list of setup servers: numbered events, first from the
// configuration, then by long poll over HTTP/1.1.
package bulletin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"woodrouter/agent"
	"woodrouter/policy"
)

// Batch is what the bulletin answers, and the form of the events known at the start.
type Batch struct {
	No    int64  `json:"no"`
	Items []Item `json:"items"`
}

// Item is one numbered event.
type Item struct {
	No     int64   `json:"no"`
	Roster *Roster `json:"roster"`
}

// Roster is the list, or what has changed in it.
type Roster struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one setup server.
type Endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Group   *int   `json:"group"`
	Status  string `json:"status"`
	SinceMs int64  `json:"since_ms"`
}

var stateByStatus = map[string]policy.State{"up": policy.Up, "draining": policy.Draining, "removed": policy.Gone}

// Servers words a roster for the core. A malformed entry is an error that names its field.
func (r Roster) Servers() ([]agent.Server, error) {
	var list []agent.Server
	for i, e := range r.Endpoints {
		state, ok := stateByStatus[e.Status]
		switch {
		case e.Name == "":
			return nil, fmt.Errorf("endpoints[%d].name: missing", i)
		case !ok:
			return nil, fmt.Errorf("endpoints[%d].status: unknown state %q", i, e.Status)
		case e.Address == "" && state == policy.Up:
			return nil, fmt.Errorf("endpoints[%d].address: missing", i)
		case e.SinceMs < 0:
			return nil, fmt.Errorf("endpoints[%d].since_ms: %d", i, e.SinceMs)
		}
		s := agent.Server{Server: policy.Server{ID: e.Name, Pool: -1, State: state,
			ReadyAt: policy.Time(e.SinceMs) * time.Millisecond}, Address: e.Address, Zone: e.Zone}
		if e.Group != nil {
			s.Pool = *e.Group
		}
		list = append(list, s)
	}
	return list, nil
}

// Core takes news of the list; *agent.Agent is one.
type Core interface {
	Servers(list []agent.Server, whole bool)
}

// Follower is the actor of the list.
type Follower struct {
	Core       Core
	Log        *slog.Logger
	PollWait   time.Duration // how long the bulletin may hold an answer back
	Grace      time.Duration // and how long the answer may take beside that
	RetryDelay time.Duration // after a failed call
	Source     net.Addr      // the bulletin is called from this address; nil: the system's choice

	mu         sync.Mutex
	address    string
	cancelCall context.CancelFunc // ends the call under way

	lastEvent    int64
	missingEvent int64 // the event that did not come where it was due; 0: none is missed
	conn         net.Conn
	answerLimit  *io.LimitedReader // of one answer
	reader       *bufio.Reader
	slowAnswers  int // answers in a row that were still coming when their time was up
}

// SetAddress has the bulletin asked at another address from now on. The call under way is cut,
// as the former address may tell nothing more and yet hold its answer back.
func (f *Follower) SetAddress(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.address {
		return
	}
	f.address = address
	if f.cancelCall != nil {
		f.cancelCall()
	}
}

// nextCall returns the address of the next call and the context that a Move ends.
func (f *Follower) nextCall(ctx context.Context) (context.Context, context.CancelFunc, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx, f.cancelCall = context.WithCancel(ctx)
	return ctx, f.cancelCall, f.address
}

// maxAnswer bounds an answer of the bulletin, and maxHead what comes before its body.
const (
	maxBodyBytes = 4 << 20
	maxHeadBytes = 64 << 10
)

// maxGraceDoublings is how often the grace of an answer that keeps coming is doubled: a list that comes slowly
// is read in the end, and one that stops half-way costs no more than the protocol's 7 s.
const maxGraceDoublings = 2

// maxRetryFactor is how many times Retry the wait between failed calls grows to; hundreds of processes ask
// one bulletin, and each draws its wait.
const maxRetryFactor = 8

// errMissingEvents tells that an answer left events out. They are asked for once more.
var errMissingEvents = errors.New("events are missing in the answer")

// Apply hands a batch's new events to the core, in order: all that was known at the start.
func (f *Follower) Apply(b Batch) error {
	err := f.applyEvents(b.Items, true)
	f.lastEvent = max(f.lastEvent, b.No)
	return err
}

// applyEvents hands new events to the core. An event that can't be read is passed over, as asking again
// would bring the same one. At a gap it stops, unless gaps are allowed: an event that was left out
// is never told again once a later one has been asked after.
func (f *Follower) applyEvents(items []Item, allowGaps bool) error {
	var bad error
	for _, item := range items {
		if item.No <= f.lastEvent {
			continue
		}
		if item.No != f.lastEvent+1 && !allowGaps && (item.Roster == nil || !item.Roster.Snapshot) {
			return errors.Join(bad, fmt.Errorf("%w: event %d follows %d", errMissingEvents, item.No, f.lastEvent))
		}
		f.lastEvent = item.No
		if item.Roster == nil {
			continue
		}
		list, err := item.Roster.Servers()
		if err != nil {
			bad = errors.Join(bad, fmt.Errorf("items: event %d: roster.%w", item.No, err))
			continue
		}
		f.Core.Servers(list, item.Roster.Snapshot)
	}
	return bad
}

// handleAnswer takes an answer, and tells whether the next may be asked for at once: not where one came
// before its time and told nothing, as a bulletin that answers so is not to be asked in a tight loop.
// What was missing twice at the same place is not to be had.
func (f *Follower) handleAnswer(b Batch, took time.Duration) (atOnce bool, err error) {
	previous := f.lastEvent
	err = f.applyEvents(b.Items, f.missingEvent == previous+1)
	if !errors.Is(err, errMissingEvents) && b.No > f.lastEvent { // it says that there are more than it told
		err = errors.Join(err, fmt.Errorf("%w: %d is the last, %d was told", errMissingEvents, b.No, f.lastEvent))
		if f.missingEvent == previous+1 && f.lastEvent == previous {
			f.lastEvent = b.No
		}
	}
	askAgain := errors.Is(err, errMissingEvents) && (f.missingEvent != previous+1 || f.lastEvent > previous)
	if f.missingEvent = 0; askAgain {
		f.missingEvent = f.lastEvent + 1
	}
	return f.lastEvent > previous && f.missingEvent == 0 || took >= f.PollWait/2, err
}

// Run polls until ctx ends. A failure ends one call, never the actor.
func (f *Follower) Run(ctx context.Context) {
	defer f.closeConn()
	failures, asked := 0, ""
	for ctx.Err() == nil {
		call, cut, address := f.nextCall(ctx)
		if address != asked {
			f.closeConn()
			failures, asked = 0, address
		}
		atOnce, err := f.poll(call, address)
		if err == nil {
			if failures > 0 {
				f.Log.Info("bulletin reached again", "after", failures)
			}
			failures = 0
		} else {
			f.closeConn()
			if failures++; failures == 1 && call.Err() == nil {
				f.Log.Warn("bulletin not reached", "address", address, "error", err)
			}
		}
		if !atOnce {
			f.pause(call, failures)
		}
		cut()
	}
}

// pause waits before the next call, longer with each failure in a row; a new address is asked at once.
func (f *Follower) pause(call context.Context, failures int) {
	wait := f.RetryDelay * time.Duration(min(1<<min(max(failures-1, 0), 10), maxRetryFactor))
	select {
	case <-call.Done():
	case <-time.After(wait/2 + rand.N(wait+1)):
	}
}

func (f *Follower) closeConn() {
	if f.conn != nil {
		f.conn.Close()
	}
	f.conn = nil
}

func (f *Follower) connect(ctx context.Context, address string) error {
	if f.conn != nil {
		return nil
	}
	d := net.Dialer{Timeout: f.Grace, LocalAddr: f.Source}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	f.answerLimit = &io.LimitedReader{R: conn}
	f.conn, f.reader = conn, bufio.NewReader(f.answerLimit)
	return nil
}

// poll asks once. The whole call has one limit: an answer that stops half-way, on a
// connection that stays open, must not keep the list from what comes after it.
func (f *Follower) poll(ctx context.Context, address string) (atOnce bool, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v", r)
		}
	}()
	began := time.Now()
	deadline := began.Add(f.PollWait + f.Grace<<f.slowAnswers)
	if f.conn != nil && f.reader.Buffered() > 0 { // more than was asked for: it would pass for the next answer
		f.closeConn()
	}
	if err := f.connect(ctx, address); err != nil {
		return false, err
	}
	stop := context.AfterFunc(ctx, func(c net.Conn) func() { return func() { c.Close() } }(f.conn))
	defer stop()
	f.conn.SetDeadline(deadline)
	f.answerLimit.N = maxHeadBytes + maxBodyBytes
	if _, err = fmt.Fprintf(f.conn, "GET /bulletins?after=%d&patience=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
		f.lastEvent, f.PollWait.Milliseconds(), address); err != nil {
		return false, err
	}
	b, closes, err := f.readAnswer()
	switch {
	case err == nil:
		f.slowAnswers = 0
	case errors.Is(err, os.ErrDeadlineExceeded) && f.answerLimit.N < maxHeadBytes+maxBodyBytes: // some of it came
		f.slowAnswers = min(f.slowAnswers+1, maxGraceDoublings)
		return false, err
	default:
		return false, err
	}
	if closes {
		f.closeConn()
	}
	atOnce, err = f.handleAnswer(b, time.Since(began))
	switch {
	case errors.Is(err, errMissingEvents):
		f.Log.Warn("bulletin left events out", "error", err, "asked_again", f.missingEvent != 0)
	case err != nil:
		f.Log.Error("bulletin event passed over", "error", err)
	}
	return atOnce, nil
}

// readAnswer reads one answer, and tells whether its connection ends with it.
func (f *Follower) readAnswer() (b Batch, closes bool, err error) {
	resp, err := http.ReadResponse(f.reader, nil)
	if err != nil {
		return b, false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return b, false, fmt.Errorf("status %s", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err != nil {
		return b, false, err
	}
	if len(body) > maxBodyBytes {
		return b, false, fmt.Errorf("answer over %d bytes", maxBodyBytes)
	}
	return b, resp.Close, json.Unmarshal(body, &b)
}
