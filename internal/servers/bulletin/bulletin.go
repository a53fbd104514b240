// Package bulletin follows the list of setup servers. The list comes as numbered events, first from the
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
	"sync/atomic"
	"time"

	"woodrouter/agent"
	"woodrouter/policy"
)

// Batch is an answer of the bulletin, and also the form of the events in the configuration.
type Batch struct {
	No    int64  `json:"no"`
	Items []Item `json:"items"`
}

// Item is one numbered event.
type Item struct {
	No     int64   `json:"no"`
	Roster *Roster `json:"roster"`
}

// Roster is the list of setup servers, or the changes to it.
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

// Servers converts a roster for the core. The error for a malformed entry names the field.
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
			return nil, fmt.Errorf("endpoints[%d].since_ms: %d is negative", i, e.SinceMs)
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

// Core receives the complete list, if whole is set, or changes of it; *agent.Agent implements it.
type Core interface {
	Servers(list []agent.Server, whole bool)
}

// Follower is the actor that polls the bulletin. Its exported fields must be set before it is used.
type Follower struct {
	Core       Core
	Log        *slog.Logger
	PollWait   time.Duration // how long the bulletin may delay an answer when there is no news
	Grace      time.Duration // how much longer the answer may take
	RetryDelay time.Duration // delay after a failed request
	Source     net.Addr      // local address of connections to the bulletin; nil: chosen by the system

	mu            sync.Mutex
	address       string
	cancelRequest context.CancelFunc // cancels the request in progress

	answeredAt atomic.Int64 // when the last call was answered, in Unix nanoseconds; 0: none was

	lastEvent    int64 // number of the last event applied
	missingEvent int64 // number of the event that was missing from the last answer; 0: none
	conn         net.Conn
	answerLimit  *io.LimitedReader // limits the size of one answer
	reader       *bufio.Reader
	slowAnswers  int // consecutive answers that were incomplete at their deadline
}

// SetAddress makes the follower ask the bulletin at another address from now on. The request in progress is
// cancelled, because the former address may have no more news and still delay its answer.
func (f *Follower) SetAddress(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.address {
		return
	}
	f.address = address
	if f.cancelRequest != nil {
		f.cancelRequest()
	}
}

// AnsweredAt returns when the bulletin last answered a call. It is safe for concurrent use.
func (f *Follower) AnsweredAt() time.Time { return time.Unix(0, f.answeredAt.Load()) }

// nextRequest returns the address for the next request and a context that SetAddress cancels.
func (f *Follower) nextRequest(ctx context.Context) (context.Context, context.CancelFunc, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx, f.cancelRequest = context.WithCancel(ctx)
	return ctx, f.cancelRequest, f.address
}

// maxBodyBytes limits the body of an answer, and maxHeadBytes its head.
const (
	maxBodyBytes = 4 << 20
	maxHeadBytes = 64 << 10
)

// maxGraceDoublings is how often Grace is doubled for an answer that keeps arriving. A list that arrives
// slowly is read in the end, and one that stops half-way costs no more than the 7 s that the protocol allows.
const maxGraceDoublings = 2

// maxRetryFactor limits the delay between failed requests, as a multiple of RetryDelay. Hundreds of processes
// poll one bulletin, so each delay is also randomized.
const maxRetryFactor = 4

// errMissingEvents means that an answer left events out. They are requested once more.
var errMissingEvents = errors.New("events are missing in the answer")

// Apply passes the new events of the batch known at the start to the core, in order.
func (f *Follower) Apply(b Batch) error {
	err := f.applyEvents(b.Items, true)
	f.lastEvent = max(f.lastEvent, b.No)
	return err
}

// applyEvents passes new events to the core. An event that cannot be parsed is skipped, because asking again
// would return the same one. It stops at a missing event unless allowGaps is set: the bulletin never repeats
// an event once a later one has been asked after.
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

// handleAnswer applies an answer and reports whether to poll again at once. It does not if an answer came
// early and had no news, because a bulletin that answers like that must not be polled in a tight loop. Events
// missing twice at the same place are given up as unavailable.
func (f *Follower) handleAnswer(b Batch, took time.Duration) (atOnce bool, err error) {
	previous := f.lastEvent
	err = f.applyEvents(b.Items, f.missingEvent == previous+1)
	if !errors.Is(err, errMissingEvents) && b.No > f.lastEvent { // its number is higher than that of its last event
		err = errors.Join(err, fmt.Errorf("%w: the number of the answer is %d, its last event is %d", errMissingEvents, b.No, f.lastEvent))
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

// Run polls until ctx ends. A failure or panic ends only one request.
func (f *Follower) Run(ctx context.Context) {
	defer f.closeConn()
	failures, lastAddress := 0, ""
	for ctx.Err() == nil {
		requestCtx, cancel, address := f.nextRequest(ctx)
		if address != lastAddress {
			f.closeConn()
			failures, lastAddress = 0, address
		}
		began := time.Now()
		atOnce, err := f.poll(requestCtx, address)
		if err == nil {
			if failures > 0 {
				f.Log.Info("bulletin reached again", "after", failures)
			}
			failures = 0
			f.answeredAt.Store(time.Now().UnixNano())
		} else {
			f.closeConn()
			if failures++; failures == 1 && requestCtx.Err() == nil {
				f.Log.Warn("bulletin not reached", "address", address, "error", err)
			}
		}
		if !atOnce {
			f.pause(requestCtx, retryPause(f.RetryDelay, failures, time.Since(began)))
		}
		cancel()
	}
}

// retryPause returns the wait before the next request, longer with each consecutive failure. The time that the
// failed request took counts: a bulletin that was silent must be asked again soon. The rest is random, so that many
// processes do not ask together.
func retryPause(delay time.Duration, failures int, took time.Duration) time.Duration {
	wait := delay * time.Duration(min(1<<min(max(failures-1, 0), 10), maxRetryFactor))
	return max(wait/2+rand.N(wait+1)-took, rand.N(delay+1))
}

// pause waits before the next request. It ends early when the address changes.
func (f *Follower) pause(requestCtx context.Context, wait time.Duration) {
	select {
	case <-requestCtx.Done():
	case <-time.After(wait):
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

// poll makes one request. One deadline covers the request and its answer, so that an answer that stops half-way
// on an open connection does not keep later events from being read.
func (f *Follower) poll(ctx context.Context, address string) (atOnce bool, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v", r)
		}
	}()
	began := time.Now()
	deadline := began.Add(f.PollWait + f.Grace<<f.slowAnswers)
	if f.conn != nil && f.reader.Buffered() > 0 { // unexpected data would be taken for the next answer
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
	case errors.Is(err, os.ErrDeadlineExceeded) && f.answerLimit.N < maxHeadBytes+maxBodyBytes: // it came in part
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
		f.Log.Error("bulletin event ignored: invalid", "error", err)
	}
	return atOnce, nil
}

// readAnswer reads one answer and reports whether the bulletin closes the connection after it.
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
