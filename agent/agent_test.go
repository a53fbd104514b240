package agent

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/policy"
)

const ms = time.Millisecond

func settings() policy.Settings {
	return policy.Settings{
		Senders: 2,
		Classes: []policy.Class{{Name: "voice", Aim: 1500 * ms, Deadline: 9 * time.Second,
			Hold: 8 * time.Second, Worth: 1, Pools: []int{0, 1}, LinesPerCall: 1}},
		Tenants: []policy.Tenant{{Name: "t", Allowance: 100}},
		Reports: policy.WithAnswers,
		Limits:  policy.Limits{MaxAttempts: 5, MaxRetryAfter: 2 * time.Second, AllowCancel: true},
		Rules: policy.Rules{RetryDelay: 300 * ms, WarmUp: 14 * time.Second, LoadWindow: time.Second,
			ColdShare: 0.3, CollapseLoad: 3},
		RepeatInterval: 800 * ms, BatchInterval: 5 * ms,
	}
}

// fakeSides records what the core does to its front and its backend; the test provides their events.
type fakeSides struct {
	mu         sync.Mutex
	toCaller   []string // messages to the caller
	toServers  []string // requests to the setup servers
	retryAfter time.Duration
	panics     bool
}

func (s *fakeSides) record(to *[]string, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*to = append(*to, fmt.Sprintf(format, args...))
}

func (s *fakeSides) recordCaller(format string, args ...any) { s.record(&s.toCaller, format, args...) }

func (s *fakeSides) copyLog(from *[]string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), *from...)
}

func (s *fakeSides) callerLog() []string { return s.copyLog(&s.toCaller) }
func (s *fakeSides) serverLog() []string { return s.copyLog(&s.toServers) }

func (s *fakeSides) Answered(c Call, d []byte) {
	if s.panics {
		panic("front")
	}
	s.recordCaller("answered %s %s", c.ID, d)
}
func (s *fakeSides) Refused(c Call, d time.Duration) {
	s.retryAfter = d
	s.recordCaller("refused %s", c.ID)
}
func (s *fakeSides) Failed(c Call, err error) {
	var f *Failure
	if errors.As(err, &f) {
		s.recordCaller("failed %s %v", c.ID, f.Stage)
		return
	}
	s.recordCaller("failed %s", c.ID)
}
func (s *fakeSides) Rejected(c Call, err error) { s.recordCaller("rejected %s: %v", c.ID, err) }
func (s *fakeSides) Ended(c Call, err error)    { s.recordCaller("ended %s %v", c.ID, err == nil) }

func (s *fakeSides) Servers([]Server, bool) {}
func (s *fakeSides) Probe(string)           {}
func (s *fakeSides) ReleaseUnknown(id string) {
	s.record(&s.toServers, "release %s somewhere", id)
}
func (s *fakeSides) SetUp(a Attempt) {
	s.record(&s.toServers, "set up %s.%d at %s", a.ID, a.Index, a.Server)
}
func (s *fakeSides) GiveUp(server, id string, n int, why policy.Result) {
	s.record(&s.toServers, "give up %s.%d at %s", id, n, server)
}

// withAgent runs a test in a synctest bubble, with one setup server on the list.
func withAgent(t *testing.T, test func(a *Agent, s *fakeSides)) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSides{}
		a, err := New(Config{Settings: settings(), Seed: 1, AnswerSlack: 20 * ms})
		require.NoError(t, err)
		a.SetBackend(s)
		go a.Run()
		defer a.Stop()
		a.Servers([]Server{{Server: policy.Server{ID: "s"}}}, true)
		synctest.Wait()
		test(a, s)
	})
}

func callFor(id string, left time.Duration) Call {
	return Call{ID: id, Class: "voice", Tenant: "t", Number: "12", Pool: -1, Deadline: time.Now().Add(left),
		Description: []byte("offer")}
}

func offer(a *Agent, s *fakeSides, id string, left time.Duration) {
	a.Offer(s, callFor(id, left))
	synctest.Wait()
}

func sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// earnRetryBudget sets up eight calls at once, as first attempts earn the module's budget of further
// attempts.
func earnRetryBudget(a *Agent, s *fakeSides) {
	for i := range 8 {
		id := fmt.Sprint("w", i)
		offer(a, s, id, 3*time.Second)
		a.Stands(id, 0, nil)
	}
}

var cutFailure = &Failure{Stage: Written, Result: policy.Cut, Server: "s", Err: fmt.Errorf("reset")}

// TestEventOrders plays events of callers and servers in the orders that races on sockets can produce. Each
// call must get one final answer, and what is left at a server must be given up.
func TestEventOrders(t *testing.T) {
	stands := func(a *Agent, s *fakeSides) { a.Stands("c", 0, []byte("d")) }
	cut := func(a *Agent, s *fakeSides) { a.Ended("c", 0, cutFailure, policy.EmptyReport()) }
	done := func(a *Agent, s *fakeSides) { a.Ended("c", 0, nil, policy.EmptyReport()) }
	leave := func(a *Agent, s *fakeSides) { a.Withdraw(s, "c") }
	cancelled := func(a *Agent, s *fakeSides) {
		a.Ended("c", 0, &Failure{Stage: Written, Result: policy.Cancelled}, policy.EmptyReport())
	}
	for _, tc := range []struct {
		name      string
		steps     []func(*Agent, *fakeSides)
		toCaller  []string
		toServers []string // after the set-up
	}{
		{"answer, end", []func(*Agent, *fakeSides){stands, done}, []string{"answered c d", "ended c true"}, nil},
		{"answer, cut", []func(*Agent, *fakeSides){stands, cut}, []string{"answered c d", "ended c false"}, nil},
		{"answer, answer", []func(*Agent, *fakeSides){stands, stands, done}, []string{"answered c d", "ended c true"}, nil},
		{"answer, caller's release", []func(*Agent, *fakeSides){stands, leave, cancelled}, []string{"answered c d"},
			[]string{"give up c.0 at s"}},
		{"caller's release crosses the end", []func(*Agent, *fakeSides){stands, done, leave},
			[]string{"answered c d", "ended c true"}, nil},
		{"end crosses the caller's release", []func(*Agent, *fakeSides){stands, leave, done},
			[]string{"answered c d"}, []string{"give up c.0 at s"}},
		{"caller leaves, then the answer", []func(*Agent, *fakeSides){leave, stands, cancelled}, nil,
			[]string{"give up c.0 at s"}},
		{"caller leaves twice", []func(*Agent, *fakeSides){leave, leave, cancelled, leave}, nil,
			[]string{"give up c.0 at s"}},
		{"the attempt ends twice", []func(*Agent, *fakeSides){stands, done, done},
			[]string{"answered c d", "ended c true"}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withAgent(t, func(a *Agent, s *fakeSides) {
				offer(a, s, "c", 3*time.Second)
				require.Equal(t, []string{"set up c.0 at s"}, s.serverLog())
				for _, step := range tc.steps {
					step(a, s)
					synctest.Wait()
				}
				sleep(4 * time.Second) // the overdue timer must not answer a second time
				assert.Equal(t, tc.toCaller, s.callerLog())
				assert.Equal(t, append([]string{"set up c.0 at s"}, tc.toServers...), s.serverLog())
				assert.Empty(t, a.calls, "the call is removed from the table")
				assert.Zero(t, a.openCalls)
			})
		})
	}
}

// TestDeadline checks that the set-up is given up at the caller's deadline, and that its end produces the
// failure. If the backend never reports the end, the caller must still get an answer within the slack.
func TestDeadline(t *testing.T) {
	withAgent(t, func(a *Agent, s *fakeSides) {
		offer(a, s, "c", 800*ms)
		sleep(799 * ms)
		require.Empty(t, s.callerLog())
		sleep(2 * ms)
		require.Equal(t, []string{"set up c.0 at s", "give up c.0 at s"}, s.serverLog())
		a.Ended("c", 0, &Failure{Stage: Written, Result: policy.TimedOut}, policy.EmptyReport())
		synctest.Wait()
		require.Equal(t, []string{"failed c written"}, s.callerLog(), "the stage is reported")
	})
	withAgent(t, func(a *Agent, s *fakeSides) {
		offer(a, s, "c", 800*ms)
		sleep(811 * ms)
		require.Equal(t, []string{"failed c"}, s.callerLog(), "failed by the core's overdue timer")
		a.Ended("c", 0, cutFailure, policy.EmptyReport())
		sleep(time.Second)
		require.Equal(t, []string{"failed c"}, s.callerLog())
		require.Empty(t, a.calls)
	})
}

// TestClearWait checks that a call whose attempt was cut is sent again only 300 ms after the end, and that a
// call which the module gives up is refused at once with a time to retry.
func TestClearWait(t *testing.T) {
	withAgent(t, func(a *Agent, s *fakeSides) {
		earnRetryBudget(a, s)
		offer(a, s, "c", 3*time.Second)
		a.Ended("c", 0, cutFailure, policy.EmptyReport())
		sleep(299 * ms)
		require.NotContains(t, s.serverLog(), "set up c.1 at s")
		sleep(60 * ms)
		require.Contains(t, s.serverLog(), "set up c.1 at s")
		a.Ended("c", 0, cutFailure, policy.EmptyReport()) // a late end of the first attempt
		synctest.Wait()
		require.NotContains(t, s.callerLog(), "refused c")

		a.Servers(nil, true)
		synctest.Wait()
		offer(a, s, "d", 3*time.Second)
		require.Contains(t, s.callerLog(), "refused d")
		require.Positive(t, s.retryAfter)
	})
}

// TestRejected checks that an id that is already open and an unknown class are rejected without affecting the
// open call.
func TestRejected(t *testing.T) {
	withAgent(t, func(a *Agent, s *fakeSides) {
		offer(a, s, "c", 3*time.Second)
		offer(a, s, "c", 3*time.Second)
		a.Offer(s, Call{ID: "x", Class: "none"})
		a.Withdraw(&fakeSides{}, "c") // a caller of another front
		synctest.Wait()
		require.Equal(t, []string{"rejected c: " + ErrDuplicate.Error(), "rejected x: " + ErrUnknownClass.Error()}, s.callerLog())
		a.Stands("c", 0, nil)
		synctest.Wait()
		require.Contains(t, s.callerLog(), "answered c ")
	})
}

// TestUnknownReleaseFlood checks that releases of unknown calls go to all servers, as is needed after a
// restart, but that a caller which invents ids can't make each of them cost every server a message.
func TestUnknownReleaseFlood(t *testing.T) {
	withAgent(t, func(a *Agent, s *fakeSides) {
		for i := range 10 * unknownReleasesPerSecond {
			a.ReleaseUnknown(fmt.Sprint(i))
		}
		synctest.Wait()
		assert.Len(t, s.serverLog(), unknownReleasesPerSecond)
		sleep(time.Second)
		a.ReleaseUnknown("later")
		synctest.Wait()
		assert.Len(t, s.serverLog(), unknownReleasesPerSecond+1)
	})
}

// TestMessagesOfPeersDoNotPileUp guards the memory limit: while the core is busy, no peer may queue more than one
// message that concerns no open call, however many it sends.
func TestMessagesOfPeersDoNotPileUp(t *testing.T) {
	const peers, messages = 10, 1000
	for name, send := range map[string]func(a *Agent, id string){
		"release of an unknown call": (*Agent).ReleaseUnknown,
		"end of an unknown call":     func(a *Agent, id string) { a.UnknownEnded(id, nil) },
		"unsolicited report":         func(a *Agent, _ string) { a.Reported(policy.ReportReceived{Server: "s"}) },
	} {
		t.Run(name, func(t *testing.T) {
			withAgent(t, func(a *Agent, _ *fakeSides) {
				busy := make(chan struct{})
				a.post("", func() { <-busy })
				for peer := range peers {
					go func() {
						for i := range messages {
							send(a, fmt.Sprint(peer, "/", i))
						}
					}()
				}
				synctest.Wait()
				assert.LessOrEqual(t, a.mailbox.Len(), peers)
				close(busy)
				synctest.Wait()
				assert.Zero(t, a.mailbox.Len(), "every peer goes on")
			})
		})
	}
}

// TestUnusableCalls checks that a call that no setup server could use is rejected before anything of it is
// stored.
func TestUnusableCalls(t *testing.T) {
	withAgent(t, func(a *Agent, s *fakeSides) {
		for _, invalidate := range []func(*Call){
			func(c *Call) { c.ID = "0000000000000000" },
			func(c *Call) { c.Tenant = "nobody" },
			func(c *Call) { c.Number = "" },
			func(c *Call) { c.Number = strings.Repeat("1", 300) },
			func(c *Call) { c.Description = nil },
			func(c *Call) { c.Pool = 99 },
			func(c *Call) { c.Pool = -3 },
			func(c *Call) { c.Width = 400 },
		} {
			c := callFor("x", 3*time.Second)
			invalidate(&c)
			a.Offer(s, c)
			synctest.Wait()
			toCaller := s.callerLog()
			assert.Contains(t, toCaller[len(toCaller)-1], "rejected "+c.ID+": "+ErrUnusableCall.Error())
		}
		assert.Empty(t, s.serverLog())
		assert.Empty(t, a.calls)
		assert.False(t, a.recent.Has("x"))
	})
}

// TestMaxOpenCalls checks the bound on open calls, which hold their descriptions in memory: beyond it a call
// is refused at once, and an answered call makes room.
func TestMaxOpenCalls(t *testing.T) {
	withAgent(t, func(a *Agent, s *fakeSides) {
		a.cfg.MaxOpenCalls = 1
		offer(a, s, "c", 3*time.Second)
		offer(a, s, "d", 3*time.Second)
		require.Equal(t, []string{"refused d"}, s.callerLog())
		require.Equal(t, 2*time.Second, s.retryAfter)
		a.Stands("c", 0, nil)
		synctest.Wait()
		offer(a, s, "e", 3*time.Second)
		require.NotContains(t, s.callerLog(), "refused e")
	})
}

// TestMaxCallBytes checks that the memory of waiting calls is bounded, not only their number, and that every
// way in which a call ends gives its share back.
func TestMaxCallBytes(t *testing.T) {
	withAgent(t, func(a *Agent, s *fakeSides) {
		one := callFor("c", 3*time.Second)
		a.cfg.MaxCallBytes = callMemory(one)
		require.True(t, a.Offer(s, one))
		require.False(t, a.Offer(s, callFor("d", 3*time.Second)), "too much at once")
		synctest.Wait()
		a.Stands("c", 0, nil)
		synctest.Wait()
		for _, id := range []string{"c", "e"} { // one that stands already, and one whose caller leaves
			require.True(t, a.Offer(s, callFor(id, 3*time.Second)))
			synctest.Wait()
			a.Withdraw(s, "e")
			synctest.Wait()
			require.Zero(t, a.openBytes.Load(), id)
		}
		require.True(t, a.Offer(s, callFor("f", 500*ms)))
		sleep(time.Second)
		require.Zero(t, a.openBytes.Load(), "its deadline passed")
	})
}

// TestPanic checks that a panic ends the call in whose event it occurred, and that the core continues.
func TestPanic(t *testing.T) {
	withAgent(t, func(a *Agent, s *fakeSides) {
		offer(a, s, "c", 3*time.Second)
		s.panics = true
		a.Stands("c", 0, nil)
		synctest.Wait()
		s.panics = false
		require.Contains(t, s.serverLog(), "give up c.0 at s")
		a.Ended("c", 0, &Failure{Result: policy.Cancelled}, policy.EmptyReport())
		offer(a, s, "d", 3*time.Second)
		a.Stands("d", 0, nil)
		synctest.Wait()
		require.Equal(t, []string{"ended c false", "answered d "}, s.callerLog(), "the caller of c is told that its call has ended")
	})
}

// TestShutdown checks that a shutdown waits for open calls, and that RefuseAll refuses the rest.
func TestShutdown(t *testing.T) {
	withAgent(t, func(a *Agent, s *fakeSides) {
		idle := false
		offer(a, s, "c", 3*time.Second)
		offer(a, s, "d", 3*time.Second)
		a.NotifyIdle(func() { idle = true })
		a.Stands("c", 0, nil)
		synctest.Wait()
		require.False(t, idle)
		a.RefuseAll(time.Second)
		synctest.Wait()
		require.True(t, idle)
		require.Contains(t, s.callerLog(), "refused d")
		require.Contains(t, s.serverLog(), "give up d.0 at s")
		require.Equal(t, time.Second, s.retryAfter)
	})
}

// TestUnknownEnded checks that the end of a call from before a restart goes to the callers, and a caller's
// release of such a call to the servers, but that neither happens for a call that this agent has handled.
func TestUnknownEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, endedCalls := &fakeSides{}, make(chan string, 10)
		a, err := New(Config{Settings: settings(), OnUnknownEnded: func(id string, err error) { endedCalls <- fmt.Sprint(id, " ", err == nil) }})
		require.NoError(t, err)
		a.SetBackend(s)
		go a.Run()
		defer a.Stop()
		offer(a, s, "mine", 3*time.Second) // refused: there is no server
		a.UnknownEnded("mine", nil)
		a.UnknownEnded("old", nil)
		a.UnknownEnded("cut", cutFailure)
		synctest.Wait()
		a.ReleaseUnknown("mine")
		a.ReleaseUnknown("older")
		synctest.Wait()
		require.Equal(t, []string{"release older somewhere"}, s.serverLog())
		require.Len(t, endedCalls, 2)
		require.Equal(t, []string{"old true", "cut false"}, []string{<-endedCalls, <-endedCalls})
	})
}

// TestUnknownEndedFlood checks that a server which keeps ending unknown calls can't flood the callers, and
// that ends pass again in the next second.
func TestUnknownEndedFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reported := 0
		a, err := New(Config{Settings: settings(), OnUnknownEnded: func(string, error) { reported++ }})
		require.NoError(t, err)
		go a.Run()
		defer a.Stop()
		for i := range 2 * unknownEndsPerSecond {
			a.UnknownEnded(fmt.Sprint(i), nil)
		}
		synctest.Wait()
		require.Equal(t, unknownEndsPerSecond, reported)
		sleep(time.Second)
		a.UnknownEnded("later", nil)
		synctest.Wait()
		require.Equal(t, unknownEndsPerSecond+1, reported)
	})
}

// TestUnknownEndReportedOnce guards against a caller that is told again and again of the same end, as a server
// repeats it on each new connection.
func TestUnknownEndReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reported := 0
		a, err := New(Config{Settings: settings(), OnUnknownEnded: func(string, error) { reported++ }})
		require.NoError(t, err)
		go a.Run()
		defer a.Stop()
		for range 3 {
			a.UnknownEnded("old", nil)
		}
		synctest.Wait()
		require.Equal(t, 1, reported)
	})
}

// TestModuleTimeIsUnixTime checks that the module's time is comparable with the Unix time of a server's
// start.
func TestModuleTimeIsUnixTime(t *testing.T) {
	a, err := New(Config{Settings: settings()})
	require.NoError(t, err)
	require.InDelta(t, time.Now().UnixNano(), int64(a.now()), float64(time.Minute))
}

// TestCounts checks that each final answer is counted once in its class, however it came about, that a
// standing call is in flight until its end, and that the listed servers are counted.
func TestCounts(t *testing.T) {
	withAgent(t, func(a *Agent, s *fakeSides) {
		offer(a, s, "c", 3*time.Second)
		a.Stands("c", 0, nil)
		offer(a, s, "c", 3*time.Second)          // a second call with the same id: failed
		offer(a, s, "d", 500*ms)                 // not answered: refused or failed by its deadline
		a.Offer(s, Call{ID: "x", Class: "none"}) // of an unknown class: not counted
		sleep(time.Second)
		require.EqualValues(t, 1, a.InFlight(), "one call stands")
		listed, _ := a.Hosts()
		require.EqualValues(t, 1, listed)
		tally := a.Tallies()["voice"]
		require.EqualValues(t, 1, tally.Served.Load())
		require.EqualValues(t, 2, tally.Refused.Load()+tally.Failed.Load())
		a.Ended("c", 0, nil, policy.EmptyReport())
		synctest.Wait()
		require.Zero(t, a.InFlight())
	})
}

// TestRefuseNew checks that an agent that is being drained refuses new calls with a time to retry and
// completes the open ones, and that it accepts calls again afterwards.
func TestRefuseNew(t *testing.T) {
	withAgent(t, func(a *Agent, s *fakeSides) {
		offer(a, s, "c", 3*time.Second)
		a.RefuseNew(true)
		offer(a, s, "d", 3*time.Second)
		require.Equal(t, []string{"refused d"}, s.callerLog())
		require.Equal(t, refusingRetryAfter, s.retryAfter)
		a.Stands("c", 0, nil)
		synctest.Wait()
		require.Contains(t, s.callerLog(), "answered c ")
		a.RefuseNew(false)
		offer(a, s, "e", 3*time.Second)
		require.Contains(t, s.serverLog(), "set up e.0 at s")
	})
}

// TestAttemptTimeout checks that a route's attempt time-out gives each attempt up at that time rather than at
// the deadline, that the server is told this time, and that the next attempt waits for the route's spacing.
func TestAttemptTimeout(t *testing.T) {
	withAgent(t, func(a *Agent, s *fakeSides) {
		earnRetryBudget(a, s)
		a.SetRouter(func(Call) Route { return Route{AttemptTimeout: 400 * ms, Spacing: 500 * ms, MaxAttempts: 2} })
		offer(a, s, "c", 3*time.Second)
		sleep(399 * ms)
		require.NotContains(t, s.serverLog(), "give up c.0 at s")
		sleep(2 * ms)
		require.Contains(t, s.serverLog(), "give up c.0 at s")
		a.Ended("c", 0, &Failure{Stage: Written, Result: policy.TimedOut, Server: "s"}, policy.EmptyReport())
		sleep(499 * ms)
		require.NotContains(t, s.serverLog(), "set up c.1 at s")
		sleep(60 * ms)
		require.Contains(t, s.serverLog(), "set up c.1 at s")
		sleep(401 * ms)
		a.Ended("c", 1, &Failure{Stage: Written, Result: policy.TimedOut, Server: "s"}, policy.EmptyReport())
		synctest.Wait()
		require.Contains(t, s.callerLog(), "refused c", "its route allows two attempts")
	})
}
