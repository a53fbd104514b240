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

type fakeCore chan string

func (c fakeCore) Servers(list []agent.Server, whole bool) { c <- fmt.Sprint(whole, " ", list) }

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

func (c fakeCore) nextUpdate(t *testing.T) string {
	t.Helper()
	select {
	case s := <-c:
		return s
	case <-time.After(standin.Patience):
		require.FailNow(t, "no news")
		return ""
	}
}

// TestEventsInOrder: events come once and in order, over empty answers. One that can't be read
// is passed over: it would come again for ever.
func TestEventsInOrder(t *testing.T) {
	b := standin.NewBulletin(t, standin.Endpoint("a", "x:1", 0, "up"))
	c, _ := startFollower(t, b.Addr)
	assert.Contains(t, c.nextUpdate(t), "true [{{a 0 0 0s} x:1 z}]")
	b.Tell(false, standin.Endpoint("a", "x:1", 0, "odd"))
	b.Tell(false, standin.Endpoint("a", "x:1", 0, "draining"))
	assert.Contains(t, c.nextUpdate(t), "false [{{a 0 1 0s} x:1 z}]")
	assert.Empty(t, c)
}

// TestBadAnswers: a bulletin that answers nonsense, or nothing, is asked again.
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

// TestSetAddress: after a move the new address is asked at once for what follows the last event,
// though the former one still holds its answer back. Waiting for it would leave the list
// behind by all that it may take.
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
	require.Eventually(t, old.Taken, standin.Patience, time.Millisecond)
	next.Tell(false, standin.Endpoint("a", "x:1", 0, "draining"))
	f.SetAddress(next.Addr)
	assert.Contains(t, c.nextUpdate(t), "false [{{a 0 1 0s} x:1 z}]", "the first event is not told again")
	assert.Empty(t, c)
}

// TestTruncatedAnswer: an answer that stops half-way is waited for no longer than the patience asked
// for and the grace; then the bulletin is asked again.
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
	assert.Less(t, time.Since(began), f.PollWait+f.Grace+2*time.Second, "what it would have told counts as told by then")
}
