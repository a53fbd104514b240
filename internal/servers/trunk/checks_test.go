package trunk

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/isup"
	"woodrouter/policy"
)

// silentConn is a connection that accepts all writes, delivers only what the test puts into in, and records
// read deadlines.
type silentConn struct {
	net.Conn
	in        []byte
	deadlines []time.Time
}

func (c *silentConn) Write(b []byte) (int, error)      { return len(b), nil }
func (c *silentConn) SetWriteDeadline(time.Time) error { return nil }
func (c *silentConn) Close() error                     { return nil }
func (c *silentConn) SetReadDeadline(when time.Time) error {
	c.deadlines = append(c.deadlines, when)
	return nil
}
func (c *silentConn) LocalAddr() net.Addr { return &net.TCPAddr{} }
func (c *silentConn) Read(b []byte) (int, error) {
	n := copy(b, c.in)
	c.in = c.in[n:]
	return n, nil
}

// checkedActor is an actor with one connection; it counts how often it is woken up.
type checkedActor struct {
	*serverActor
	firstLink   *link
	wakeUps     int
	dialedAfter time.Duration // time from the start to the first dial of another connection; 0: never
	lostAfter   time.Duration // time from the start to the loss of the first connection; 0: never
}

func newCheckedActor(cfg Config) *checkedActor {
	began, k := time.Now(), &checkedActor{}
	cfg.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
		k.dialedAfter = time.Since(began)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	cfg.ConnectTimeout = 100 * time.Hour
	p := NewPool(cfg, &fakeCore{make(chan coreEvent, 1000), nil, nil})
	k.serverActor = newServerActor(p.cfg, p.core, listedServer("peer", policy.Up, time.Time{}), &p.sentCount, &p.connCount, p.slots)
	k.firstLink = &link{conn: &silentConn{}, lastReceived: time.Now(), readDone: make(chan struct{})}
	k.link = k.firstLink
	go func() {
		for f, ok := k.mailbox.Take(); ok; f, ok = k.mailbox.Take() {
			k.wakeUps++
			f()
			if k.link != k.firstLink && k.lostAfter == 0 {
				k.lostAfter = time.Since(began)
			}
		}
	}()
	return k
}

// runOnActor runs f on the actor without counting it as a wake-up.
func (k *checkedActor) runOnActor(f func()) {
	k.post(func() { k.wakeUps--; f() })
	synctest.Wait()
}

// shutDown stops the actor and its dial.
func (k *checkedActor) shutDown() {
	k.runOnActor(func() { k.stopped = true; k.link = nil })
	if k.cancelDial != nil {
		k.cancelDial()
	}
	k.mailbox.Close()
	synctest.Wait()
}

// pollChecks checks the connection each quarter of StallTimeout. Scheduled checks must have the same effect
// as these.
func (k *checkedActor) pollChecks() {
	k.post(func() {
		if k.link != k.firstLink {
			return
		}
		k.checkLink(k.firstLink)
		k.stopCheckTimer()
		time.AfterFunc(k.cfg.StallTimeout/4, k.pollChecks)
	})
}

// stopCheckTimer cancels the check that the actor itself has scheduled.
func (k *checkedActor) stopCheckTimer() {
	if k.firstLink.checkTimer != nil {
		k.firstLink.checkTimer.Stop()
	}
}

// TestIdleChecks guards against needless wake-ups of an idle agent: with many servers they would take most of
// its processor time. The figures are those of a deployment with an aim of 1.5 s.
func TestIdleChecks(t *testing.T) {
	for name, tc := range map[string]struct {
		unanswered, standing int
		least, most          int // wake-ups in a minute with a group state each second
	}{
		"nothing unanswered":   {0, 0, 0, 0},
		"a call that stands":   {0, 1, 20, 30},
		"an unanswered set-up": {1, 0, 795, 801}, // each quarter of 300 ms
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newCheckedActor(Config{})
				defer k.shutDown()
				k.runOnActor(func() {
					k.checkLink(k.firstLink)
					k.firstLink.received = true
					for i := range tc.unanswered + tc.standing {
						k.writeSetUp(newAttempt(isup.CallID(i+1).String(), time.Hour))
					}
				})
				k.runOnActor(func() {
					for i := range tc.standing {
						k.handleAnswer(k.firstLink, isup.Message{Call: isup.CallID(i + 1)})
					}
				})
				time.Sleep(2 * time.Second) // let the checks run that were due before
				k.runOnActor(func() { k.firstLink.lastReceived = time.Now(); k.wakeUps = 0 })
				for range 60 {
					time.Sleep(time.Second)
					k.runOnActor(func() { k.firstLink.lastReceived = time.Now() })
				}
				assert.True(t, tc.least <= k.wakeUps && k.wakeUps <= tc.most, "%d times", k.wakeUps)
				assert.Equal(t, tc.unanswered > 0, k.dialedAfter > 0, "group states do not answer a set-up")
			})
		})
	}
}

// TestChecksOnTime guards against a stall being detected late because a check was not scheduled. Whatever is
// written, answered, ended and received, a silent connection must be replaced or given up at the same time as
// with a check each quarter of StallTimeout.
func TestChecksOnTime(t *testing.T) {
	dials, losses := 0, 0
	for seed := range uint64(200) {
		play := func(poll bool) (dialed, lost time.Duration) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 1))
				k := newCheckedActor(Config{Aim: time.Duration(400+rng.IntN(2000)) * ms, SilenceTimeout: time.Duration(500+rng.IntN(4000)) * ms})
				defer k.shutDown()
				if poll {
					k.pollChecks()
				} else {
					k.runOnActor(func() { k.checkLink(k.firstLink) })
				}
				for n := range 40 {
					time.Sleep(time.Duration(rng.ExpFloat64() * 300 * float64(ms)))
					what, id := rng.IntN(8), isup.CallID(1+rng.IntN(n+1))
					k.runOnActor(func() {
						switch a := k.open[id]; {
						case k.link != k.firstLink:
						case what < 2:
							k.writeSetUp(newAttempt(isup.CallID(n+1).String(), time.Hour))
						case what < 4:
							k.firstLink.lastReceived, k.firstLink.received = time.Now(), true
						case a != nil && what < 6:
							k.firstLink.lastReceived, k.firstLink.received = time.Now(), true
							k.handleAnswer(k.firstLink, isup.Message{Call: id})
						case a != nil:
							k.serverActor.endAttempt(id, a, nil, policy.EmptyReport())
						}
						if poll {
							k.stopCheckTimer()
						}
					})
				}
				time.Sleep(10 * time.Second)
				synctest.Wait()
				dialed, lost = k.dialedAfter, k.lostAfter
			})
			return dialed, lost
		}
		dialed, lost := play(true)
		gotDialed, gotLost := play(false)
		require.Equal(t, []time.Duration{dialed, lost}, []time.Duration{gotDialed, gotLost}, "seed %d", seed)
		if dialed > 0 {
			dials++
		}
		if lost > 0 {
			losses++
		}
	}
	assert.Greater(t, dials, 50)
	assert.Greater(t, losses, 5)
}

// TestReadDeadlines guards against needless calls to set deadlines. A message that is there whole gets none,
// one that comes in parts gets one from its start, and the time between messages has none.
func TestReadDeadlines(t *testing.T) {
	m, err := isup.Message{Type: isup.Progress, Call: 1}.Append(nil)
	require.NoError(t, err)
	c := &silentConn{}
	s := &messageReader{conn: c, interval: time.Second}
	var b [100]byte
	read := func(in []byte) {
		c.in = in
		n, _ := s.Read(b[:])
		require.Equal(t, len(in), n)
	}
	for range 100 {
		s.endMessage()
		read(bytes.Repeat(m, 3))
		for range 3 {
			s.beginMessage()
			s.endMessage()
		}
	}
	require.Empty(t, c.deadlines)
	began := time.Now()
	for range 2 {
		s.beginMessage()
		for range 3 {
			read(m[:5])
		}
		s.endMessage()
	}
	require.Len(t, c.deadlines, 2, "one for each message")
	for _, d := range c.deadlines {
		assert.WithinRange(t, d, began.Add(s.interval), time.Now().Add(s.interval))
	}
	read(m)
	read(m)
	require.Len(t, c.deadlines, 3)
	assert.Zero(t, c.deadlines[2])
}
