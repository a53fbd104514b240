package bulletin

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/agent"
	"woodrouter/internal/standin"
	"woodrouter/policy"
)

// fakeCore receives each update of the list as text.
type fakeCore chan string

func (c fakeCore) Servers(list []agent.Server, whole bool) { c <- fmt.Sprint(whole, " ", list) }

// TestRosterServers checks how entries are converted, and that the error for a malformed one names the field.
func TestRosterServers(t *testing.T) {
	const entry = `"name":"s-1","address":"10.1.0.9:5070","zone":"east","new":1`
	for _, tc := range []struct{ name, in, bad string }{
		{"up", `{` + entry + `,"group":2,"status":"up","since_ms":1700000000123}`, ""},
		{"removed, no address", `{"name":"s-1","group":2,"status":"removed"}`, ""},
		{"no name", `{"address":"x","status":"up"}`, "endpoints[0].name"},
		{"no state", `{` + entry + `}`, "endpoints[0].status"},
		{"unknown state", `{` + entry + `,"status":"lost"}`, "endpoints[0].status"},
		{"no address", `{"name":"s-1","status":"up"}`, "endpoints[0].address"},
		{"before all time", `{` + entry + `,"status":"up","since_ms":-1}`, "endpoints[0].since_ms"},
	} {
		var r Roster
		require.NoError(t, json.Unmarshal([]byte(`{"endpoints":[`+tc.in+`]}`), &r))
		list, err := r.Servers()
		if tc.bad != "" {
			assert.ErrorContains(t, err, tc.bad, tc.name)
			continue
		}
		require.NoError(t, err, tc.name)
		assert.Equal(t, 2, list[0].Pool)
		if tc.name == "up" {
			assert.Equal(t, policy.Time(1700000000123*time.Millisecond), list[0].ReadyAt, "Unix time")
			assert.Equal(t, "10.1.0.9:5070", list[0].Address)
		}
	}
}

// startFollower runs a follower that polls addr until the end of the test.
func startFollower(t *testing.T, addr string) (fakeCore, *Follower) {
	c := make(fakeCore, 100)
	f := &Follower{Core: c, Log: slog.New(slog.DiscardHandler), PollWait: 200 * time.Millisecond,
		Grace: 300 * time.Millisecond, RetryDelay: 10 * time.Millisecond}
	f.SetAddress(addr)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return c, f
}

// nextUpdate waits for the next update.
func (c fakeCore) nextUpdate(t *testing.T) string {
	t.Helper()
	select {
	case s := <-c:
		return s
	case <-time.After(standin.WaitTimeout):
		require.FailNow(t, "no update of the list")
		return ""
	}
}

// TestEventsInOrder checks that each event is applied once and in order, also after empty answers. An event
// that cannot be parsed is skipped: asking again would return the same one for ever.
func TestEventsInOrder(t *testing.T) {
	b := standin.NewBulletin(t, standin.Endpoint("a", "x:1", 0, "up"))
	c, _ := startFollower(t, b.Addr)
	assert.Contains(t, c.nextUpdate(t), "true [{{a 0 0 0s} x:1 z}]")
	b.AddEvent(false, standin.Endpoint("a", "x:1", 0, "odd"))
	b.AddEvent(false, standin.Endpoint("a", "x:1", 0, "draining"))
	assert.Contains(t, c.nextUpdate(t), "false [{{a 0 1 0s} x:1 z}]")
	assert.Empty(t, c)
}

// TestBadAnswers checks that a bulletin with invalid or no answers is asked again.
func TestBadAnswers(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	answers := []string{"", "nonsense\r\n\r\n", "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" +
			`{"no":1,"items":[{"no":1,"roster":{"snapshot":true,"endpoints":[{"name":"a","address":"x:1","status":"up"}]}}]}`}
	go func() {
		for _, a := range answers {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			conn.Read(make([]byte, 1000))
			conn.Write([]byte(a))
			conn.Close()
		}
	}()
	c, _ := startFollower(t, ln.Addr().String())
	assert.Contains(t, c.nextUpdate(t), "[{{a -1 0 0s} x:1 }]")
}

// TestSetAddress checks that after a change of address the new one is asked at once for the events after the
// last one, although the former address still delays its answer. Waiting for that answer would leave the list
// out of date for as long as it may take.
func TestSetAddress(t *testing.T) {
	entry := standin.Endpoint("a", "x:1", 0, "up")
	old, next := standin.NewBulletin(t, entry), standin.NewBulletin(t, entry)
	c := make(fakeCore, 100)
	f := &Follower{Core: c, Log: slog.New(slog.DiscardHandler), PollWait: time.Hour, Grace: time.Hour,
		RetryDelay: time.Hour}
	f.SetAddress(old.Addr)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	c.nextUpdate(t)
	require.Eventually(t, old.AllFetched, standin.WaitTimeout, time.Millisecond)
	next.AddEvent(false, standin.Endpoint("a", "x:1", 0, "draining"))
	f.SetAddress(next.Addr)
	assert.Contains(t, c.nextUpdate(t), "false [{{a 0 1 0s} x:1 z}]", "the first event is not applied twice")
	assert.Empty(t, c)
}

// TestTruncatedAnswer checks that a follower waits for an answer that stops half-way no longer than PollWait
// and Grace, and then asks again.
func TestTruncatedAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for i := 0; ; i++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() }) // it stays open
			conn.Read(make([]byte, 1000))
			answer := `{"no":1,"items":[{"no":1,"roster":{"endpoints":[{"name":"a","address":"x:1","status":"up"}]}}]}`
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer[:len(answer)*min(i+1, 2)/2])
		}
	}()
	began := time.Now()
	c, f := startFollower(t, ln.Addr().String())
	assert.Contains(t, c.nextUpdate(t), "[{{a -1 0 0s} x:1 }]")
	assert.Less(t, time.Since(began), f.PollWait+f.Grace+2*time.Second, "by then its events count as told")
}

// TestRetryPause guards against a change that is read late because of a long pause after an outage.
func TestRetryPause(t *testing.T) {
	const delay = 100 * time.Millisecond
	for _, tc := range []struct {
		name        string
		failures    int
		took        time.Duration
		least, most time.Duration
	}{
		{"answered early without news", 0, 0, delay / 2, 3 * delay / 2},
		{"refused once", 1, 0, delay / 2, 3 * delay / 2},
		{"refused for long", 20, 0, 2 * delay, 6 * delay},
		{"silent for long", 20, 1750 * time.Millisecond, 0, delay},
	} {
		for range 200 {
			pause := retryPause(delay, tc.failures, tc.took)
			assert.GreaterOrEqual(t, pause, tc.least, tc.name)
			assert.LessOrEqual(t, pause, tc.most, tc.name)
		}
	}
}
