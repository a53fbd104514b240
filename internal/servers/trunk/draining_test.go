package trunk

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/internal/standin"
	"woodrouter/isup"
	"woodrouter/policy"
)

// connectionEnds are the ways in which an idle connection to a server ends.
var connectionEnds = map[string]func(c *standin.Conn){
	"closed": func(c *standin.Conn) { c.Close() },
	"reset":  func(c *standin.Conn) { c.Reset() },
	"closed inside a message": func(c *standin.Conn) {
		c.Write([]byte{0, 40, byte(isup.GroupState)})
		c.Close()
	},
	"unreadable": func(c *standin.Conn) { c.Write([]byte{0, 1, 0}) },
	"forgotten":  func(*standin.Conn) {}, // it stays open, and nothing comes on it any more
}

// TestDrainingServerKeepsConnection guards against a call of an earlier process whose end nobody hears, because the only
// connection to its draining server ended before the call.
func TestDrainingServerKeepsConnection(t *testing.T) {
	for name, end := range connectionEnds {
		for _, before := range []policy.State{policy.Up, policy.Draining} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				p, c := startPool(t, Config{Jitter: ms, SilenceTimeout: 300 * ms})
				s := standin.NewServer(t, "")
				p.update(listedServer(s.Addr, before, time.Time{}))
				standin.Next(t, c.reports)
				p.update(listedServer(s.Addr, policy.Draining, time.Time{}))
				for range 2 {
					conns := s.Conns()
					end(conns[len(conns)-1])
					require.Eventually(t, func() bool { return len(s.Conns()) > len(conns) }, standin.WaitTimeout, ms, "the draining server is not connected again")
				}
				conns := s.Conns()
				conns[len(conns)-1].Send(isup.Message{Type: isup.Release, Call: 1}.WithCause(isup.Normal))
				assert.Equal(t, firstCall, standin.Next(t, c.unknown))
				p.update(listedServer(s.Addr, policy.Gone, time.Time{}))
			})
		}
	}
}

// TestForgottenConnectionReplaced guards against the same at a server in service after a restart of the agent: a
// connection on which the server has stopped sending its state is replaced though no call is known there.
func TestForgottenConnectionReplaced(t *testing.T) {
	for name, sendsStates := range map[string]bool{"states stop": true, "no states": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, c := startPool(t, Config{Jitter: ms, SilenceTimeout: 300 * ms})
			s := standin.NewServer(t, "")
			p.update(listedServer(s.Addr, policy.Up, time.Time{}))
			standin.Next(t, c.reports)
			if !sendsStates {
				time.Sleep(900 * ms)
				assert.Len(t, s.Conns(), 1, "a server without regular states is not dialled for its silence")
				return
			}
			s.Conns()[0].Send(isup.Message{Type: isup.GroupState}.WithText(isup.Report, "x0:900;x1:1000"))
			require.Eventually(t, func() bool { return len(s.Conns()) > 1 }, standin.WaitTimeout, ms)
		})
	}
}

// TestIdleConnectionRedialPaced guards a server that ends every connection at once against being dialled without a pause.
func TestIdleConnectionRedialPaced(t *testing.T) {
	for _, state := range []policy.State{policy.Up, policy.Draining} {
		p, c := startPool(t, Config{Jitter: ms})
		s := standin.NewServer(t, "")
		p.update(listedServer(s.Addr, state, time.Time{}))
		standin.Next(t, c.reports)
		began, ended := time.Now(), 0
		for time.Since(began) < time.Second {
			if conns := s.Conns(); len(conns) > ended {
				conns[ended].Reset()
				ended++
			}
			time.Sleep(ms)
		}
		assert.LessOrEqual(t, len(s.Conns()), int(time.Second/minConnectionLife)+2)
		p.update(listedServer(s.Addr, policy.Gone, time.Time{}))
	}
}
