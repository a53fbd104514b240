package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/callrpc"
	"woodrouter/internal/plan"
	"woodrouter/internal/standin"
	"woodrouter/isup"
)

// testToken is the token of the client whose settings change.
const testToken = "first"

// listedClient returns a client with a token for the settings.
func listedClient(name, token string) plan.Client {
	sum := sha256.Sum256([]byte(token))
	return plan.Client{Name: name, TokenSHA256: hex.EncodeToString(sum[:])}
}

// dialAPI connects to the call API with testToken.
func (s *testSite) dialAPI() (*callrpc.Client, error) {
	ctx, cancel := context.WithTimeout(context.Background(), standin.WaitTimeout)
	defer cancel()
	return callrpc.Dial(ctx, "ws://"+s.daemon.api.address().String()+"/calls", callrpc.Options{Token: testToken})
}

// apiOutcome is the outcome of a set-up: "stands", an error code, or "connection ended".
type apiOutcome string

const (
	outcomeStands  apiOutcome = "stands"
	outcomeRefused apiOutcome = "code 1001"
	outcomeLost    apiOutcome = "connection ended"
)

// placeAPI places a call over the API and returns its outcome.
func placeAPI(c *callrpc.Client, id isup.CallID, deadline time.Duration) apiOutcome {
	_, err := c.SetUp(context.Background(), callrpc.Call{ID: id.String(), Class: "voice", Number: "12", DeadlineMs: deadline.Milliseconds(),
		Description: []byte("offer")})
	e, answered := callrpc.AsError(err)
	switch {
	case err == nil:
		return outcomeStands
	case answered:
		return apiOutcome(fmt.Sprint("code ", e.Code))
	}
	return outcomeLost
}

// apiChange is a change of the call API's settings, in steps, and what becomes of further set-ups on an open connection.
type apiChange struct {
	name    string
	steps   []func(f *plan.Front)
	refused bool // further set-ups are refused from the change on
}

var (
	withdrawToken = func(f *plan.Front) { f.Clients = f.Clients[1:] }
	disableAPI    = func(f *plan.Front) { f.Enabled = false }
	changeIdle    = func(f *plan.Front) { f.IdleS++ }
	moveAPI       = func(f *plan.Front) { f.Listen = "127.0.0.2:0" }
)

var apiChanges = []apiChange{
	{"idle time", []func(*plan.Front){changeIdle}, false},
	{"message size", []func(*plan.Front){func(f *plan.Front) { f.MaxMessage = 1 << 10 }}, false},
	{"path", []func(*plan.Front){func(f *plan.Front) { f.Path = "/other" }}, false},
	{"origins", []func(*plan.Front){func(f *plan.Front) { f.Origins = []string{"http://x"} }}, false},
	{"connections", []func(*plan.Front){func(f *plan.Front) { f.MaxConnections = 1 }}, false},
	{"another client", []func(*plan.Front){func(f *plan.Front) { f.Clients = append(f.Clients, listedClient("c", "third")) }}, false},
	{"address", []func(*plan.Front){moveAPI}, false},
	{"token withdrawn", []func(*plan.Front){withdrawToken}, true},
	{"disabled", []func(*plan.Front){disableAPI}, true},
	{"twice", []func(*plan.Front){changeIdle, changeIdle}, false},
	{"moved, then token withdrawn", []func(*plan.Front){moveAPI, withdrawToken}, true},
	{"path changed, token withdrawn", []func(*plan.Front){func(f *plan.Front) { f.Path = "/other"; withdrawToken(f) }}, true},
	{"token withdrawn, then idle time", []func(*plan.Front){withdrawToken, changeIdle}, true},
	{"disabled and enabled", []func(*plan.Front){disableAPI, func(f *plan.Front) { f.Enabled = true }}, false},
}

// newChangeSite returns a site whose call API has two clients, and a connection of the first.
func newChangeSite(t *testing.T) (*testSite, *callrpc.Client) {
	s := newTestSite(t)
	s.applyAPI(func(f *plan.Front) {
		f.Listen = freeAddress(t)
		f.Clients = []plan.Client{listedClient("a", testToken), listedClient("b", "second")}
	})
	client, err := s.dialAPI()
	require.NoError(t, err)
	t.Cleanup(func() { client.Close() })
	return s, client
}

// TestSettingsChangeKeepsSetUps guards an open set-up of the call API against a change of the settings: its answer comes on its
// connection however late it is, and then the connection ends. A client that may no longer connect can place no further call.
func TestSettingsChangeKeepsSetUps(t *testing.T) {
	const answerAfter = 6 * time.Second
	for _, change := range apiChanges {
		t.Run(change.name, func(t *testing.T) {
			t.Parallel()
			s, client := newChangeSite(t)
			open := make(chan apiOutcome, 1)
			go func() { open <- placeAPI(client, 0x10, 9*time.Second) }()
			call := s.awaitSetUp(0x10)
			for _, step := range change.steps {
				s.applyAPI(step)
			}
			further := make(chan apiOutcome, 1)
			go func() { further <- placeAPI(client, 0x20, 9*time.Second) }()
			if change.refused {
				assert.Equal(t, outcomeRefused, <-further)
			} else {
				s.awaitSetUp(0x20).Answer("room")
				assert.Equal(t, outcomeStands, <-further)
			}
			time.Sleep(answerAfter)
			call.Answer("room")
			assert.Equal(t, outcomeStands, <-open)
			assert.Eventually(t, func() bool { return placeAPI(client, 0x30, 1) == outcomeLost }, standin.WaitTimeout, 5*time.Millisecond)
		})
	}
}

// nextMessage returns the next message that either server receives; false if none comes.
func (s *testSite) nextMessage() (standin.Received, bool) {
	select {
	case got := <-s.servers[0].Received:
		return got, true
	case got := <-s.servers[1].Received:
		return got, true
	case <-time.After(standin.WaitTimeout):
		return standin.Received{}, false
	}
}

// awaitSetUp returns the set-up of a call at either server.
func (s *testSite) awaitSetUp(id isup.CallID) standin.Received {
	s.t.Helper()
	for {
		got, ok := s.nextMessage()
		require.True(s.t, ok, "no set-up of %v came", id)
		if got.Type == isup.SetUp && got.Call == id {
			return got
		}
	}
}

// forbiddenPlacers is how many set-ups a client that never pauses has open at the same time.
const forbiddenPlacers = 24

// TestForbiddenClientsEnd guards against a client that never pauses and goes on for ever on a connection that the settings no
// longer allow. Each of its set-ups is answered; the last ones may cross the close.
func TestForbiddenClientsEnd(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(f *plan.Front)
		within time.Duration
	}{
		{"token withdrawn", withdrawToken, 4 * time.Second},
		{"disabled", disableAPI, 4 * time.Second},
		{"address", moveAPI, movedClientGrace + 4*time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s, client := newChangeSite(t)
			go s.answerAll(20 * time.Millisecond)
			var last atomic.Uint64
			var mu sync.Mutex
			outcomes := map[apiOutcome]int{}
			var clients sync.WaitGroup
			for range forbiddenPlacers {
				clients.Go(func() {
					for outcome := outcomeStands; outcome != outcomeLost; {
						outcome = placeAPI(client, isup.CallID(last.Add(1)), 9*time.Second)
						mu.Lock()
						outcomes[outcome]++
						mu.Unlock()
					}
				})
			}
			time.Sleep(500 * time.Millisecond)
			changed := time.Now()
			s.applyAPI(tc.change)
			clients.Wait()
			assert.Less(t, time.Since(changed), tc.within)
			assert.Positive(t, outcomes[outcomeRefused])
			delete(outcomes, outcomeRefused)
			assert.Positive(t, outcomes[outcomeStands])
			delete(outcomes, outcomeStands)
			assert.Equal(t, map[apiOutcome]int{outcomeLost: forbiddenPlacers}, outcomes)
		})
	}
}

// answerAll answers the set-ups at both servers after a while.
func (s *testSite) answerAll(after time.Duration) {
	for got, ok := s.nextMessage(); ok; got, ok = s.nextMessage() {
		if got.Type == isup.SetUp {
			time.AfterFunc(after, func() { got.Answer("room") })
		}
	}
}

// TestSetUpBetweenClosesAnswered guards a set-up that comes on an open connection of one front while a stop closes the connections
// of the other: it is answered, or its connection is closed before the set-up is passed on.
func TestSetUpBetweenClosesAnswered(t *testing.T) {
	s := newTestSite(t)
	silent, err := net.Dial("tcp", s.daemon.api.address().String()) // does not close its end
	require.NoError(t, err)
	defer silent.Close()
	caller := standin.NewCaller(t, s.addr)
	caller.Send(isup.Message{Type: isup.Test, Call: 9}.WithCause(0))
	caller.Await(t, isup.TestResult, 9)
	go s.answerAll(200 * time.Millisecond)
	go s.stop()
	silent.SetReadDeadline(time.Now().Add(standin.WaitTimeout))
	_, err = silent.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	caller.Write(setUpBytes(t, 0x10)) // it fails if the connection is closed already
	answer, err := caller.Next()
	if err != nil {
		assert.Zero(t, s.servers[0].Count(isup.SetUp, 0x10)+s.servers[1].Count(isup.SetUp, 0x10), "passed on, not answered: %v", err)
		return
	}
	assert.Equal(t, isup.CallID(0x10), answer.Call)
}
