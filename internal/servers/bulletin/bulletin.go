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

var states = map[string]policy.State{"up": policy.Up, "draining": policy.Draining, "removed": policy.Gone}

// Servers words a roster for the core. A malformed entry is an error that names its field.
func (r Roster) Servers() ([]agent.Server, error) {
	var list []agent.Server
	for i, e := range r.Endpoints {
		state, ok := states[e.Status]
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
	Core     Core
	Log      *slog.Logger
	Patience time.Duration // how long the bulletin may hold an answer back
	Grace    time.Duration // and how long the answer may take beside that
	Retry    time.Duration // after a failed call
	Source   net.Addr      // the bulletin is called from this address; nil: the system's choice

	mu      sync.Mutex
	address string
	cut     context.CancelFunc // ends the call under way

	last  int64
	gap   int64 // the event that did not come where it was due; 0: none is missed
	conn  net.Conn
	limit *io.LimitedReader // of one answer
	in    *bufio.Reader
	slow  int // answers in a row that were still coming when their time was up
}

// Move has the bulletin asked at another address from now on. The call under way is cut,
// as the former address may tell nothing more and yet hold its answer back.
func (f *Follower) Move(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.address {
		return
	}
	f.address = address
	if f.cut != nil {
		f.cut()
	}
}

// aim returns the address of the next call and the context that a Move ends.
func (f *Follower) aim(ctx context.Context) (context.Context, context.CancelFunc, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx, f.cut = context.WithCancel(ctx)
	return ctx, f.cut, f.address
}

// maxAnswer bounds an answer of the bulletin, and maxHead what comes before its body.
const (
	maxAnswer = 4 << 20
	maxHead   = 64 << 10
)

// maxSlow is how often the grace of an answer that keeps coming is doubled: a list that comes slowly
// is read in the end, and one that stops half-way costs no more than the protocol's 7 s.
const maxSlow = 2

// maxWait is how many times Retry the wait between failed calls grows to; hundreds of processes ask
// one bulletin, and each draws its wait.
const maxWait = 8

// errGap tells that an answer left events out. They are asked for once more.
var errGap = errors.New("events are missing in the answer")

// Take hands a batch's new events to the core, in order: all that was known at the start.
func (f *Follower) Take(b Batch) error {
	err := f.take(b.Items, true)
	f.last = max(f.last, b.No)
	return err
}

// take hands new events to the core. An event that can't be read is passed over, as asking again
// would bring the same one. At a gap it stops, unless gaps are allowed: an event that was left out
// is never told again once a later one has been asked after.
func (f *Follower) take(items []Item, gaps bool) error {
	var bad error
	for _, item := range items {
		if item.No <= f.last {
			continue
		}
		if item.No != f.last+1 && !gaps && (item.Roster == nil || !item.Roster.Snapshot) {
			return errors.Join(bad, fmt.Errorf("%w: event %d follows %d", errGap, item.No, f.last))
		}
		f.last = item.No
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

// answered takes an answer, and tells whether the next may be asked for at once: not where one came
// before its time and told nothing, as a bulletin that answers so is not to be asked in a tight loop.
// What was missing twice at the same place is not to be had.
func (f *Follower) answered(b Batch, took time.Duration) (atOnce bool, err error) {
	before := f.last
	err = f.take(b.Items, f.gap == before+1)
	if !errors.Is(err, errGap) && b.No > f.last { // it says that there are more than it told
		err = errors.Join(err, fmt.Errorf("%w: %d is the last, %d was told", errGap, b.No, f.last))
		if f.gap == before+1 && f.last == before {
			f.last = b.No
		}
	}
	again := errors.Is(err, errGap) && (f.gap != before+1 || f.last > before)
	if f.gap = 0; again {
		f.gap = f.last + 1
	}
	return f.last > before && f.gap == 0 || took >= f.Patience/2, err
}

// Run polls until ctx ends. A failure ends one call, never the actor.
func (f *Follower) Run(ctx context.Context) {
	defer f.drop()
	failures, asked := 0, ""
	for ctx.Err() == nil {
		call, cut, address := f.aim(ctx)
		if address != asked {
			f.drop()
			failures, asked = 0, address
		}
		atOnce, err := f.poll(call, address)
		if err == nil {
			if failures > 0 {
				f.Log.Info("bulletin reached again", "after", failures)
			}
			failures = 0
		} else {
			f.drop()
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
	wait := f.Retry * time.Duration(min(1<<min(max(failures-1, 0), 10), maxWait))
	select {
	case <-call.Done():
	case <-time.After(wait/2 + rand.N(wait+1)):
	}
}

func (f *Follower) drop() {
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
	f.limit = &io.LimitedReader{R: conn}
	f.conn, f.in = conn, bufio.NewReader(f.limit)
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
	until := began.Add(f.Patience + f.Grace<<f.slow)
	if f.conn != nil && f.in.Buffered() > 0 { // more than was asked for: it would pass for the next answer
		f.drop()
	}
	if err := f.connect(ctx, address); err != nil {
		return false, err
	}
	stop := context.AfterFunc(ctx, func(c net.Conn) func() { return func() { c.Close() } }(f.conn))
	defer stop()
	f.conn.SetDeadline(until)
	f.limit.N = maxHead + maxAnswer
	if _, err = fmt.Fprintf(f.conn, "GET /bulletins?after=%d&patience=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
		f.last, f.Patience.Milliseconds(), address); err != nil {
		return false, err
	}
	b, ends, err := f.read()
	switch {
	case err == nil:
		f.slow = 0
	case errors.Is(err, os.ErrDeadlineExceeded) && f.limit.N < maxHead+maxAnswer: // some of it came
		f.slow = min(f.slow+1, maxSlow)
		return false, err
	default:
		return false, err
	}
	if ends {
		f.drop()
	}
	atOnce, err = f.answered(b, time.Since(began))
	switch {
	case errors.Is(err, errGap):
		f.Log.Warn("bulletin left events out", "error", err, "asked_again", f.gap != 0)
	case err != nil:
		f.Log.Error("bulletin event passed over", "error", err)
	}
	return atOnce, nil
}

// read reads one answer, and tells whether its connection ends with it.
func (f *Follower) read() (b Batch, ends bool, err error) {
	resp, err := http.ReadResponse(f.in, nil)
	if err != nil {
		return b, false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return b, false, fmt.Errorf("status %s", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return b, false, err
	}
	if len(body) > maxAnswer {
		return b, false, fmt.Errorf("answer over %d bytes", maxAnswer)
	}
	return b, resp.Close, json.Unmarshal(body, &b)
}
