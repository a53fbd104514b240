package isupfront

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/agent"
	"woodrouter/internal/front/connmgr"
	"woodrouter/internal/standin"
	"woodrouter/isup"
)

func startFront(t *testing.T, cfg connmgr.Config) (*Front, *standin.AgentStub, string) {
	c := standin.NewAgentStub()
	f := New(cfg, c, func() bool { return true })
	return f, c, standin.Serve(t, f)
}

// TestOutcomes checks that a set-up is parsed completely and that each outcome is sent as one message.
func TestOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name  string
		do    func(f *Front, c agent.Call)
		cause isup.Cause
		away  string
	}{
		{"refused", func(f *Front, c agent.Call) { f.Refused(c, 1500*time.Millisecond) }, isup.Congestion, "1500"},
		{"refused, no advice", func(f *Front, c agent.Call) { f.Refused(c, 0) }, isup.Congestion, ""},
		{"failed", func(f *Front, c agent.Call) { f.Failed(c, agent.ErrOverdue) }, isup.Unavailable, ""},
		{"unknown class", func(f *Front, c agent.Call) { f.Rejected(c, agent.ErrUnknownClass) }, isup.Unavailable, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, core, addr := startFront(t, connmgr.Config{})
			c := standin.NewCaller(t, addr)
			c.SetUp(7, "voice", 3*time.Second, 2)
			call := standin.Next(t, core.Offered)
			assert.Equal(t, "0000000000000007", call.ID)
			assert.Equal(t, []any{"voice", 2, "offer 0000000000000007"}, []any{call.Class, call.Pool, string(call.Description)})
			assert.InDelta(t, 3, time.Until(call.Deadline).Seconds(), 2.9)
			tc.do(f, call)
			tc.do(f, call) // a second outcome must not be sent
			m := c.Await(t, isup.Release, 7)
			cause, err := m.Cause()
			require.NoError(t, err)
			assert.Equal(t, tc.cause, cause)
			assert.Equal(t, tc.away, m.Text(isup.RetryAfter))
			c.Send(isup.Message{Type: isup.Test, Call: 9}.WithCause(0))
			passed, err := c.Await(t, isup.TestResult, 9).Cause()
			require.NoError(t, err)
			assert.Equal(t, isup.Passed, passed)
		})
	}
}

// TestBusyCore checks that a call that the core can't accept is refused at once, with the time after which to
// retry.
func TestBusyCore(t *testing.T) {
	_, core, addr := startFront(t, connmgr.Config{RetryAfter: 700 * time.Millisecond})
	core.Busy = true
	c := standin.NewCaller(t, addr)
	c.SetUp(7, "voice", 3*time.Second, 2)
	assert.Equal(t, "700", c.Await(t, isup.Release, 7).Text(isup.RetryAfter))
}

// TestStandingOutlivesConnection checks that the end of a call is sent on its connection, else on any other
// of its caller, else on the caller's next one, and that its release may come on any of them.
func TestStandingOutlivesConnection(t *testing.T) {
	f, core, addr := startFront(t, connmgr.Config{})
	c := standin.NewCaller(t, addr)
	stand := func(id isup.CallID) agent.Call {
		c.SetUp(id, "voice", 3*time.Second, 2)
		call := standin.Next(t, core.Offered)
		f.Answered(call, []byte("there"))
		assert.Equal(t, "there", c.Await(t, isup.Answer, id).Text(isup.Description))
		return call
	}
	one, two, three := stand(1), stand(2), stand(3)
	f.Ended(one, nil)
	cause, _ := c.Await(t, isup.Release, 1).Cause()
	assert.Equal(t, isup.Normal, cause)
	c.SetUp(4, "voice", 3*time.Second, 2)
	standin.Next(t, core.Offered)
	c.Close()
	assert.Equal(t, "0000000000000004", standin.Next(t, core.Withdrawn), "only the set-up that was open on it")
	f.Ended(two, agent.ErrPanic)
	other := standin.NewCaller(t, addr)
	cause, _ = other.Await(t, isup.Release, 2).Cause()
	assert.Equal(t, isup.TempFailure, cause)
	other.Send(isup.Message{Type: isup.Release, Call: 3}.WithCause(isup.Normal))
	assert.Equal(t, three.ID, standin.Next(t, core.Withdrawn))
	f.Ended(three, nil) // crosses the caller's release
	other.Send(isup.Message{Type: isup.Test, Call: 9}.WithCause(0))
	other.Await(t, isup.TestResult, 9)
}

// TestUnknownEnded checks that the end of a call from before a restart is sent to any caller, or to the next
// that connects, and that a caller's release of such a call is passed on.
func TestUnknownEnded(t *testing.T) {
	f, core, addr := startFront(t, connmgr.Config{})
	f.UnknownEnded("0000000000000007", nil)
	c := standin.NewCaller(t, addr)
	c.Await(t, isup.Release, 7)
	c.Send(isup.Message{Type: isup.Release, Call: 8}.WithCause(isup.Normal))
	assert.Equal(t, "0000000000000008", standin.Next(t, core.UnknownReleases))
}

// encodeSetUp encodes a set-up with the given time and figures, which may be invalid.
func encodeSetUp(t *testing.T, left, figures string) string {
	b, err := isup.Message{Type: isup.SetUp, Call: 2}.WithText(isup.Class, "voice").WithText(isup.TimeLeft, left).
		WithText(isup.Figures, figures).Append(nil)
	require.NoError(t, err)
	return string(b)
}

// TestFaults checks that a malformed, oversized or unexpected message ends its connection and the calls open
// on it, and no other connection.
func TestFaults(t *testing.T) {
	setUp, err := isup.Message{Type: isup.SetUp, Call: 1}.WithText(isup.Class, "voice").WithText(isup.TimeLeft, "3000").Append(nil)
	require.NoError(t, err)
	for name, input := range map[string]string{
		"oversized":              "\xff\xff",
		"too short":              "\x00\x01\x01",
		"parameter over end":     "\x00\x0c\x01\x00\x00\x00\x00\x00\x00\x00\x02\x10\x00\x09",
		"unknown type":           "\x00\x09\x63\x00\x00\x00\x00\x00\x00\x00\x02",
		"answer from caller":     "\x00\x09\x09\x00\x00\x00\x00\x00\x00\x00\x02",
		"set-up without time":    "\x00\x09\x01\x00\x00\x00\x00\x00\x00\x00\x02",
		"release, no cause":      "\x00\x09\x0c\x00\x00\x00\x00\x00\x00\x00\x01",
		"bad figures":            "\x00\x18\x01\x00\x00\x00\x00\x00\x00\x00\x02\x11\x00\x011\x15\x00\x06dest:x\x00",
		"first choice no number": encodeSetUp(t, "3000", "dest:nan;width:1;via:-1"),
		"negative first choice":  encodeSetUp(t, "3000", "dest:-3"),
		"zero width":             encodeSetUp(t, "3000", "dest:0;width:0"),
		"negative time":          encodeSetUp(t, "-5", "dest:0"),
		"days":                   encodeSetUp(t, "864000000", "dest:0"),
		"id open already":        string(setUp),
		"truncated message":      "\x00\x30\x01",
	} {
		t.Run(name, func(t *testing.T) {
			_, core, addr := startFront(t, connmgr.Config{MessageTimeout: 200 * time.Millisecond})
			good := standin.NewCaller(t, addr)
			good.SetUp(5, "voice", 3*time.Second, 2)
			standin.Next(t, core.Offered)
			c := standin.NewCaller(t, addr)
			_, err := c.Write(append(setUp[:len(setUp):len(setUp)], input...))
			require.NoError(t, err)
			standin.Next(t, core.Offered)
			_, err = c.Next()
			require.Error(t, err)
			assert.Equal(t, "0000000000000001", standin.Next(t, core.Withdrawn))
			good.Send(isup.Message{Type: isup.Test, Call: 9}.WithCause(0))
			good.Await(t, isup.TestResult, 9)
			assert.Empty(t, core.Withdrawn)
		})
	}
}

// TestIdle checks that an idle connection without a set-up is closed, and one with a set-up is not.
func TestIdle(t *testing.T) {
	f, core, addr := startFront(t, connmgr.Config{IdleTimeout: 500 * time.Millisecond})
	busy := standin.NewCaller(t, addr)
	busy.SetUp(1, "voice", 3*time.Second, 2)
	call := standin.Next(t, core.Offered)
	idle := standin.NewCaller(t, addr)
	_, err := idle.Next()
	require.Error(t, err)
	f.Answered(call, nil)
	busy.Await(t, isup.Answer, 1)
}

// TestSilent checks that a connection without a complete message is closed soon, and that one that has sent a
// message may stay.
func TestSilent(t *testing.T) {
	_, core, addr := startFront(t, connmgr.Config{FirstMessageTimeout: 500 * time.Millisecond})
	asked := standin.NewCaller(t, addr)
	asked.SetUp(1, "voice", 3*time.Second, 2)
	standin.Next(t, core.Offered)
	for _, partial := range []string{"", "\x00\x30\x01"} {
		c := standin.NewCaller(t, addr)
		c.Write([]byte(partial))
		_, err := c.Next()
		require.Error(t, err)
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "closed by the agent, not by the test's deadline")
	}
	asked.Send(isup.Message{Type: isup.Test, Call: 9}.WithCause(0))
	asked.Await(t, isup.TestResult, 9)
}

// TestTooManyConnections checks what happens at the limit of connections, each of which holds a descriptor: a
// new one replaces one that never sent a message, then one without a call. A connection with a call stays,
// and if all have calls the new one is closed.
func TestTooManyConnections(t *testing.T) {
	f, core, addr := startFront(t, connmgr.Config{MaxPeers: 3, FirstMessageTimeout: time.Hour, EvictAfter: time.Nanosecond})
	connect := func() *standin.Caller {
		c := standin.NewCaller(t, addr)
		c.Send(isup.Message{Type: isup.Test, Call: 9}.WithCause(0))
		c.Await(t, isup.TestResult, 9)
		return c
	}
	ended := func(c *standin.Caller) {
		t.Helper()
		_, err := c.Next()
		require.Error(t, err)
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	}
	standing, idle := connect(), connect()
	standing.SetUp(1, "voice", 3*time.Second, 2)
	call := standin.Next(t, core.Offered)
	f.Answered(call, nil)
	standing.Await(t, isup.Answer, 1)
	silent := standin.NewCaller(t, addr)
	for i, replaced := range []*standin.Caller{silent, idle} {
		c := connect()
		ended(replaced)
		c.SetUp(isup.CallID(2+i), "voice", 3*time.Second, 2)
		standin.Next(t, core.Offered)
	}
	ended(standin.NewCaller(t, addr))
	f.Ended(call, nil)
	standing.Await(t, isup.Release, 1)
	assert.Empty(t, core.Withdrawn, "no call was lost")
}

// TestRecentlyUsedStays checks that a connection that was just used is not closed for a new one, as a set-up
// may be on its way there; the new one is closed.
func TestRecentlyUsedStays(t *testing.T) {
	_, core, addr := startFront(t, connmgr.Config{MaxPeers: 1, EvictAfter: time.Hour})
	c := standin.NewCaller(t, addr)
	c.Send(isup.Message{Type: isup.Test, Call: 9}.WithCause(0))
	c.Await(t, isup.TestResult, 9)
	_, err := standin.NewCaller(t, addr).Next()
	require.Error(t, err)
	c.SetUp(1, "voice", 3*time.Second, 2)
	standin.Next(t, core.Offered)
}

// TestRetryMark checks that parameter 19 marks a caller's retry, which package policy gives less weight.
func TestRetryMark(t *testing.T) {
	for mark, want := range map[string]bool{"": false, "1": true} {
		m := isup.Message{Type: isup.SetUp, Call: 3}.WithText(isup.Class, "voice").WithText(isup.TimeLeft, "3000")
		if mark != "" {
			m = m.WithText(isup.Retry, mark)
		}
		c, err := parseCall(m, time.Now())
		require.NoError(t, err)
		assert.Equal(t, want, c.Redialled)
	}
	_, err := parseCall(isup.Message{Type: isup.SetUp}.WithText(isup.TimeLeft, "1").WithText(isup.Retry, "yes"), time.Now())
	assert.ErrorContains(t, err, "parameter 19")
}

// TestCloseCrossing checks that a set-up that crosses the close of its connection is not accepted and does
// not reset the connection: its caller can read what was written before, and the end of the connection.
func TestCloseCrossing(t *testing.T) {
	f, core, addr := startFront(t, connmgr.Config{LingerTimeout: standin.WaitTimeout})
	c := standin.NewCaller(t, addr)
	c.SetUp(1, "voice", 3*time.Second, 2)
	f.Answered(standin.Next(t, core.Offered), []byte("there"))
	closed := make(chan struct{})
	go func() { f.Close(); close(closed) }()
	c.Await(t, isup.Answer, 1)
	_, err := c.Next()
	require.ErrorIs(t, err, io.EOF)
	setUp := []byte(encodeSetUp(t, "3000", "dest:0"))
	for range 3 {
		_, err = c.Write(setUp)
		require.NoError(t, err, "closed, not reset")
	}
	c.Conn.Conn.(*net.TCPConn).CloseWrite()
	standin.Next(t, closed)
	assert.Empty(t, core.Offered)
}

// TestSlowSetUp checks that a caller may take 2 s to send a set-up, plus the network's delay, be it its first
// message or a later one.
func TestSlowSetUp(t *testing.T) {
	for name, first := range map[string]bool{"the first": true, "a later one": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, core, addr := startFront(t, connmgr.Config{})
			c := standin.NewCaller(t, addr)
			if !first {
				c.Send(isup.Message{Type: isup.Test, Call: 9}.WithCause(0))
				c.Await(t, isup.TestResult, 9)
			}
			setUp := []byte(encodeSetUp(t, "3000", "dest:0"))
			began := time.Now()
			for i := range setUp {
				time.Sleep(time.Until(began.Add(2200 * time.Millisecond * time.Duration(i+1) / time.Duration(len(setUp)))))
				_, err := c.Write(setUp[i : i+1])
				require.NoError(t, err)
			}
			standin.Next(t, core.Offered)
		})
	}
}
