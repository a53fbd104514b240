package daemon

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/internal/standin"
	"woodrouter/isup"
)

// abandonDelay is the time after a caller has left from which on no attempt of its call may begin.
const abandonDelay = 100 * time.Millisecond

// awaitSent waits, if the caller stays, until its call has been sent want times; it bounds the wait
// generously for slow machines.
func (s *testSite) awaitSent(stays bool, want int, seen func(*testSite) int) {
	if stays {
		require.Eventually(s.t, func() bool { return seen(s) == want }, standin.WaitTimeout, time.Millisecond)
	}
}

// TestCallerGone checks that a call that waits for room at the servers, or for a retry after a broken
// attempt, is not sent once its caller has left, in whichever way and through either front. If the caller
// stays, the same call is sent.
func TestCallerGone(t *testing.T) {
	const waiting isup.CallID = 0x30
	for name, leave := range map[string]func(c *standin.Caller){
		"stays":       nil,
		"closes":      func(c *standin.Caller) { c.Close() },
		"half-closes": func(c *standin.Caller) { c.Conn.Conn.(*net.TCPConn).CloseWrite() },
		"resets":      func(c *standin.Caller) { c.Conn.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
		"gives up": func(c *standin.Caller) {
			c.Send(isup.Message{Type: isup.Release, Call: waiting}.WithCause(isup.Normal))
		},
		"closes its WebSocket": nil,
	} {
		sent := 1
		if name == "stays" {
			sent = 2
		}
		// begin starts the call and returns the function by which its caller leaves.
		begin := func(t *testing.T, s *testSite) func() {
			if name == "closes its WebSocket" {
				api, client := s.webSocketCaller(t)
				go api(waiting, 9*time.Second)
				return func() { client.Close() }
			}
			c := standin.NewCaller(t, s.addr)
			c.SetUp(waiting, "voice", 9*time.Second, 0)
			return func() {
				if leave != nil {
					leave(c)
				}
			}
		}
		seen := func(s *testSite) int {
			return s.servers[0].Count(isup.SetUp, waiting) + s.servers[1].Count(isup.SetUp, waiting)
		}
		t.Run(name+", after a broken attempt", func(t *testing.T) {
			t.Parallel()
			s := newTestSite(t)
			c := standin.NewCaller(t, s.addr)
			for id := range isup.CallID(8) { // first attempts add to the retry budget
				c.SetUp(id+1, "voice", 9*time.Second, 0)
				s.servers[0].Await(t, isup.SetUp).Answer("there")
				c.Await(t, isup.Answer, id+1)
			}
			leaves := begin(t, s)
			s.servers[0].Await(t, isup.SetUp).Release(isup.TempFailure, "")
			leaves()
			s.awaitSent(name == "stays", sent, seen)
			time.Sleep(2*300*time.Millisecond + abandonDelay) // the release wait is over
			assert.Equal(t, sent, seen(s))
		})
		t.Run(name+", waiting for room", func(t *testing.T) {
			t.Parallel()
			s := newTestSite(t)
			c := standin.NewCaller(t, s.addr)
			c.SetUp(1, "voice", 9*time.Second, 0)
			first := s.servers[0].Await(t, isup.SetUp)
			c.SetUp(2, "voice", 9*time.Second, 1)
			second := s.servers[1].Await(t, isup.SetUp)
			leaves := begin(t, s)
			require.Eventually(t, func() bool { return s.daemon.core.InFlight() == 3 }, standin.WaitTimeout, time.Millisecond, "the call has arrived")
			time.Sleep(abandonDelay) // it waits
			assert.Zero(t, seen(s))
			leaves()
			time.Sleep(abandonDelay)
			first.Answer("there")
			second.Answer("there")
			s.awaitSent(name == "stays", sent-1, seen)
			time.Sleep(2 * abandonDelay)
			assert.Equal(t, sent-1, seen(s))
		})
	}
}

// TestCloseWithSetUp checks that when a connection is closed or reset right after a set-up, possibly in the
// same segment, no call stays at a server: the set-up is either not sent or given up there.
func TestCloseWithSetUp(t *testing.T) {
	for name, end := range map[string]func(c *standin.Caller){
		"close": func(c *standin.Caller) { c.Close() },
		"reset": func(c *standin.Caller) { c.Conn.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
		"end":   func(c *standin.Caller) { c.Conn.Conn.(*net.TCPConn).CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestSite(t)
			for id := range isup.CallID(20) {
				c := standin.NewCaller(t, s.addr)
				c.SetUp(id+1, "voice", 9*time.Second, int(id%2))
				end(c)
			}
			c := standin.NewCaller(t, s.addr)
			c.SetUp(99, "voice", 9*time.Second, 0)
			var g standin.Received
			for g.Call != 99 || g.Type != isup.SetUp { // at the server that has room
				select {
				case g = <-s.servers[0].Received:
				case g = <-s.servers[1].Received:
				case <-time.After(standin.WaitTimeout):
					t.Fatal("the call of a caller that stays was not sent")
				}
			}
			g.Answer("there")
			c.Await(t, isup.Answer, 99)
			assert.Eventually(t, func() bool {
				for id := range isup.CallID(20) {
					for _, server := range s.servers {
						if server.Count(isup.SetUp, id+1) != server.Count(isup.Release, id+1) {
							return false
						}
					}
				}
				return true
			}, standin.WaitTimeout, time.Millisecond)
		})
	}
}
