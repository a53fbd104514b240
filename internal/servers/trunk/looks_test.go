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

// deaf is a connection on which all is written, nothing comes, and deadlines are counted.
type deaf struct {
	net.Conn
	in        []byte
	deadlines []time.Time
}

func (c *deaf) Write(b []byte) (int, error)      { return len(b), nil }
func (c *deaf) SetWriteDeadline(time.Time) error { return nil }
func (c *deaf) Close() error                     { return nil }
func (c *deaf) SetReadDeadline(when time.Time) error {
	c.deadlines = append(c.deadlines, when)
	return nil
}
func (c *deaf) Read(b []byte) (int, error) {
	n := copy(b, c.in)
	c.in = c.in[n:]
	return n, nil
}

// looked is a trunk with one connection and an actor that counts what it is woken for.
type looked struct {
	*trunk
	l      *link
	woken  int
	dialed time.Duration // when another connection was tried first, since the start; 0: never
	lost   time.Duration // when the connection was given up
}

func newLooked(cfg Config) *looked {
	began, k := time.Now(), &looked{}
	cfg.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
		k.dialed = time.Since(began)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	cfg.ConnectTimeout = 100 * time.Hour
	p := NewPool(cfg, &core{make(chan told, 1000), nil, nil})
	k.trunk = newTrunk(p.cfg, p.core, listed("peer", policy.Up, time.Time{}), &p.sent, &p.conns, p.places)
	k.l = &link{conn: &deaf{}, heard: time.Now(), read: make(chan struct{})}
	k.link = k.l
	go func() {
		for f, ok := k.box.Take(); ok; f, ok = k.box.Take() {
			k.woken++
			f()
			if k.link != k.l && k.lost == 0 {
				k.lost = time.Since(began)
			}
		}
	}()
	return k
}

// do has the actor do something, which is no wake-up of its own.
func (k *looked) do(f func()) {
	k.post(func() { k.woken--; f() })
	synctest.Wait()
}

func (k *looked) shut() {
	k.do(func() { k.stopped = true; k.link = nil })
	if k.cancel != nil {
		k.cancel()
	}
	k.box.Close()
	synctest.Wait()
}

// polled is the rule that looks keep to without saying when they come: one each quarter of Stall.
func (k *looked) polled() {
	k.post(func() {
		if k.link != k.l {
			return
		}
		k.listen(k.l)
		k.unset()
		time.AfterFunc(k.cfg.Stall/4, k.polled)
	})
}

// unset takes back the look that the trunk itself has set up.
func (k *looked) unset() {
	if k.l.timer != nil {
		k.l.timer.Stop()
	}
}

// TestIdleLooks: what an idle agent is woken for, with figures of a deployment: an aim of 1.5 s.
func TestIdleLooks(t *testing.T) {
	for name, tc := range map[string]struct {
		out, stand  int
		least, most int // in a minute, states coming once a second
	}{
		"nothing out":        {0, 0, 0, 0},
		"a call that stands": {0, 1, 20, 30},
		"a set-up out":       {1, 0, 795, 801}, // each quarter of 300 ms
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newLooked(Config{})
				defer k.shut()
				k.do(func() {
					k.listen(k.l)
					k.l.spoke = true
					for i := range tc.out + tc.stand {
						k.write(attemptFor(isup.CallID(i+1).String(), time.Hour))
					}
				})
				k.do(func() {
					for i := range tc.stand {
						k.answered(k.l, isup.Message{Call: isup.CallID(i + 1)})
					}
				})
				time.Sleep(2 * time.Second) // what was due before they were known
				k.do(func() { k.l.heard = time.Now(); k.woken = 0 })
				for range 60 {
					time.Sleep(time.Second)
					k.do(func() { k.l.heard = time.Now() })
				}
				assert.True(t, tc.least <= k.woken && k.woken <= tc.most, "%d times", k.woken)
				assert.Equal(t, tc.out > 0, k.dialed > 0, "states alone answer nothing")
			})
		})
	}
}

// TestLooksInTime: whatever is written, answered, ended and heard at whatever time, a silent connection
// is doubted at the moment at which it would be if it were looked at each quarter of Stall.
func TestLooksInTime(t *testing.T) {
	dials, losses := 0, 0
	for seed := range uint64(200) {
		play := func(poll bool) (dialed, lost time.Duration) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 1))
				k := newLooked(Config{Aim: time.Duration(400+rng.IntN(2000)) * ms, Silence: time.Duration(500+rng.IntN(4000)) * ms})
				defer k.shut()
				if poll {
					k.polled()
				} else {
					k.do(func() { k.listen(k.l) })
				}
				for n := range 40 {
					time.Sleep(time.Duration(rng.ExpFloat64() * 300 * float64(ms)))
					what, id := rng.IntN(8), isup.CallID(1+rng.IntN(n+1))
					k.do(func() {
						switch a := k.open[id]; {
						case k.link != k.l:
						case what < 2:
							k.write(attemptFor(isup.CallID(n+1).String(), time.Hour))
						case what < 4:
							k.l.heard, k.l.spoke = time.Now(), true
						case a != nil && what < 6:
							k.l.heard, k.l.spoke = time.Now(), true
							k.answered(k.l, isup.Message{Call: id})
						case a != nil:
							k.trunk.end(id, a, nil, policy.EmptyReport())
						}
						if poll {
							k.unset()
						}
					})
				}
				time.Sleep(10 * time.Second)
				synctest.Wait()
				dialed, lost = k.dialed, k.lost
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

// TestDeadlines: a message that is there whole has no deadline set for it; one that comes in parts has
// its own from its beginning, and what comes after it none.
func TestDeadlines(t *testing.T) {
	m, err := isup.Message{Type: isup.Progress, Call: 1}.Append(nil)
	require.NoError(t, err)
	c := &deaf{}
	s := &source{conn: c, step: time.Second}
	var b [100]byte
	read := func(in []byte) {
		c.in = in
		n, _ := s.Read(b[:])
		require.Equal(t, len(in), n)
	}
	for range 100 {
		s.await()
		read(bytes.Repeat(m, 3))
		for range 3 {
			s.begin()
			s.await()
		}
	}
	require.Empty(t, c.deadlines)
	began := time.Now()
	for range 2 {
		s.begin()
		for range 3 {
			read(m[:5])
		}
		s.await()
	}
	require.Len(t, c.deadlines, 2, "one a message")
	for _, d := range c.deadlines {
		assert.WithinRange(t, d, began.Add(s.step), time.Now().Add(s.step))
	}
	read(m)
	read(m)
	require.Len(t, c.deadlines, 3)
	assert.Zero(t, c.deadlines[2])
}
