package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"woodrouter/internal/standin"
	"woodrouter/isup"
)

// TestEndsAtDrainingServerAfterRestart guards against a call from before a restart whose end its caller never hears: its
// server drains, and the connection of the new process to it has ended before the call.
func TestEndsAtDrainingServerAfterRestart(t *testing.T) {
	const toldWithin = 1050 * time.Millisecond // of the server's release
	for restartName, restart := range map[string]func(p *agentProcess){
		"killed":  func(p *agentProcess) { p.Kill() },
		"stopped": func(p *agentProcess) { p.Term(); p.awaitExit(t) },
	} {
		for endName, end := range map[string]func(c *standin.Conn){
			"closed":    func(c *standin.Conn) { c.Close() },
			"reset":     func(c *standin.Conn) { c.Reset() },
			"forgotten": func(*standin.Conn) {},
		} {
			for _, drainsBefore := range []bool{true, false} {
				t.Run(restartName+", connection "+endName, func(t *testing.T) {
					t.Parallel()
					p := startProcess(t, "")
					p.configure(t)
					standin.NewCaller(t, p.address).SetUp(1, "voice", 9*time.Second, 0)
					p.server.Await(t, isup.SetUp).Answer("there")
					drain := func() { p.bulletin.AddEvent(false, standin.Endpoint("s0", p.server.Addr, 0, "draining")) }
					if drainsBefore {
						drain()
					}
					restart(p)
					former := len(p.server.Conns())
					require.NoError(t, p.Start())
					p.configure(t)
					require.Eventually(t, func() bool { return len(p.server.Conns()) > former && p.bulletin.AllFetched() }, standin.WaitTimeout, time.Millisecond)
					if !drainsBefore {
						drain()
						require.Eventually(t, p.bulletin.AllFetched, standin.WaitTimeout, time.Millisecond)
					}
					former = len(p.server.Conns())
					end(p.server.Conns()[former-1])
					require.Eventually(t, func() bool { return len(p.server.Conns()) > former }, standin.WaitTimeout, time.Millisecond, "the draining server is not connected again")
					caller := standin.NewCaller(t, p.address)
					caller.Send(isup.Message{Type: isup.Test, Call: 2}.WithCause(isup.NotPassed))
					caller.Await(t, isup.TestResult, 2)
					p.server.Conns()[former].Send(isup.Message{Type: isup.Release, Call: 1}.WithCause(isup.Normal))
					released := time.Now()
					caller.Await(t, isup.Release, 1)
					require.Less(t, time.Since(released), toldWithin)
				})
			}
		}
	}
}

// TestCallsAtReplacedServerEnd guards against calls that go on standing for their caller after their server's process has
// ended and another has taken its address at once, while discovery is out of reach: the new process is not the old one.
func TestCallsAtReplacedServerEnd(t *testing.T) {
	const toldWithin = 8050 * time.Millisecond // of the end of a call whose release could not be sent
	p := startProcess(t, freeAddress(t))
	p.configure(t)
	caller := standin.NewCaller(t, p.address)
	caller.SetUp(1, "voice", 9*time.Second, 0)
	p.server.Await(t, isup.SetUp).Answer("there")
	caller.Await(t, isup.Answer, 1)
	replaced := time.Now()
	next := p.server.Replace(t)
	caller.Await(t, isup.Release, 1)
	require.Less(t, time.Since(replaced), toldWithin)
	require.Eventually(t, func() bool { return next.Count(isup.Release, 1) == 1 }, standin.WaitTimeout, time.Millisecond, "it is released at the new process, which may be the old one")
}
