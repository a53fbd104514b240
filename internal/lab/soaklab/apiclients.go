package soaklab

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"woodrouter/callrpc"
	"woodrouter/internal/lab"
	"woodrouter/internal/lab/emulator"
	"woodrouter/internal/plan"
	"woodrouter/isup"
)

// SettingsChanged is the name of the fault of changes of the call API's settings while its clients have set-ups open.
const SettingsChanged = "settings changed"

// apiFaults are drawn apart from the others, so that the seeds of those keep their courses.
var apiFaults = []fault{{SettingsChanged, (*trial).changeSettings}}

// Times and numbers of this fault.
const (
	apiFaultGap     = 6 * time.Second
	apiPort         = 5080                   // the first one; a moved API has the next
	apiHang         = 7 * time.Second        // a server hangs for so long from before the changes
	apiSpan         = 8 * time.Second        // clients place calls for so long, if their connections do not end before
	apiChangeGap    = 900 * time.Millisecond // the longest time between two changes
	apiDialTimeout  = 2 * time.Second
	apiClientCount  = 3
	busyPlacers     = 6                      // set-ups that a client that never pauses has open at the same time
	signalHandled   = 500 * time.Millisecond // a SIGHUP has taken effect
	movedGrace      = 5 * time.Second        // as docs/call-api.md states
	refusedSendsOn  = 2500 * time.Millisecond
	openSetUpMargin = 500 * time.Millisecond
)

// apiChange is a change of the call API's settings. hurries says that clients must connect elsewhere, forbids that they may
// not connect any more.
type apiChange struct {
	name             string
	do               func(s *apiSession)
	hurries, forbids bool
}

var apiChanges = []apiChange{
	{"idle time", func(s *apiSession) { s.front.IdleS++ }, false, false},
	{"message size", func(s *apiSession) { s.front.MaxMessage += 1 << 10 }, false, false},
	{"connections", func(s *apiSession) { s.front.MaxConnections = 1 }, false, false},
	{"path", func(s *apiSession) { s.front.Path += "x" }, true, false},
	{"address", func(s *apiSession) { s.move() }, true, false},
	{"token", func(s *apiSession) { s.front.Clients = s.front.Clients[1:] }, true, true},
	{"off", func(s *apiSession) { s.front.Enabled = false }, true, true},
}

// apiSession is the use of one agent's call API from its first settings until it is off again.
type apiSession struct {
	trial *trial
	agent int
	life  int
	port  int
	front plan.Front

	mu          sync.Mutex
	forbiddenAt time.Time // no call may be placed after that; zero: calls may be
	endBy       time.Time // all connections must have ended by then; zero: they may stay
}

// statePath returns the path of an agent's state file.
func (t *trial) statePath(agent int) string {
	return filepath.Join(t.Dir, fmt.Sprintf("a%d.state.json", agent))
}

// changeSettings has clients of an agent's call API place calls, one of them without a pause, at servers of which one hangs, and
// changes the API's settings up to three times meanwhile. In half of the sessions the agent is stopped after that.
func (t *trial) changeSettings(rng *rand.Rand) string {
	agent := t.takeAgent(rng)
	if agent < 0 {
		return ""
	}
	what := fmt.Sprintf("a%d", agent)
	var changes []apiChange
	for range 1 + rng.IntN(3) {
		change := apiChanges[rng.IntN(len(apiChanges))]
		changes = append(changes, change)
		what += ", " + change.name
		if change.forbids {
			break
		}
	}
	what += ", hangs: " + t.serverFault(rng, false, func(s *emulator.Server) {
		s.Hang(apiHang)
		time.Sleep(apiHang)
	})
	seed := rng.Uint64()
	t.underWay.Go(func() {
		newAPISession(t, agent).play(changes, rand.New(rand.NewPCG(seed, 3)))
	})
	return what
}

func newAPISession(t *trial, agent int) *apiSession {
	s := &apiSession{trial: t, agent: agent, port: apiPort, life: int(t.callers[agent].lifeIndex.Load())}
	s.front = plan.Front{Enabled: true, Path: "/calls", MaxConnections: 8, MaxMessage: 64 << 10, IdleS: 30,
		Clients: []plan.Client{listedClient("a", apiToken), listedClient("b", "other")}}
	s.move()
	return s
}

// apiToken is the token of the clients.
const apiToken = "first"

func listedClient(name, token string) plan.Client {
	sum := sha256.Sum256([]byte(token))
	return plan.Client{Name: name, TokenSHA256: hex.EncodeToString(sum[:])}
}

// move changes the address of the settings.
func (s *apiSession) move() {
	s.front.Listen = fmt.Sprintf("%s:%d", s.trial.cluster.Net.Host(s.agent), s.port)
	s.port++
}

// apply has the agent take the settings, by plan, apply and SIGHUP.
func (s *apiSession) apply() {
	p, err := plan.Make(s.trial.statePath(s.agent), s.front)
	if err == nil {
		err = p.Apply()
	}
	if err != nil {
		s.trial.recorder.report("laboratory", "settings of a%d: %v", s.agent, err)
		return
	}
	s.trial.cluster.Procs[s.agent].HangUp()
}

// play opens the API, has clients place calls while its settings change, and closes it or stops the agent.
func (s *apiSession) play(changes []apiChange, rng *rand.Rand) {
	s.apply()
	var clients sync.WaitGroup
	began := time.Now()
	for i := range apiClientCount {
		client := s.dial()
		if client == nil {
			break
		}
		placers := 1
		if i == 0 {
			placers = busyPlacers
		}
		seed := rng.Uint64()
		clients.Go(func() {
			s.useClient(client, placers, began.Add(apiSpan), seed)
			client.Close()
		})
	}
	for _, change := range changes {
		time.Sleep(between(rng, 0, apiChangeGap))
		change.do(s)
		s.apply()
		s.expect(change)
	}
	if rng.IntN(2) == 0 {
		s.trial.stopAgent(s.agent, rng) // others may take the agent after that
		clients.Wait()
		return
	}
	clients.Wait()
	s.front.Enabled = false
	s.apply()
	s.trial.setStopping(s.agent, false)
}

// expect records what a change that has just been signalled means for the clients.
func (s *apiSession) expect(change apiChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	handled := time.Now().Add(signalHandled)
	endBy := handled.Add(s.longestDeadline() + openSetUpMargin + refusedSendsOn)
	if change.forbids {
		s.forbiddenAt = handled
	} else {
		endBy = endBy.Add(movedGrace)
	}
	if change.hurries && (s.endBy.IsZero() || endBy.Before(s.endBy)) {
		s.endBy = endBy
	}
}

func (s *apiSession) longestDeadline() (longest time.Duration) {
	for _, c := range s.trial.Deployment.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// dial connects to the API as soon as it listens; nil if it does not.
func (s *apiSession) dial() *callrpc.Client {
	ctx, cancel := context.WithTimeout(context.Background(), apiDialTimeout)
	defer cancel()
	for ctx.Err() == nil {
		client, err := callrpc.Dial(ctx, "ws://"+s.front.Listen+s.front.Path, callrpc.Options{Token: apiToken})
		if err == nil {
			return client
		}
		lab.Sleep(ctx, reconnectInterval)
	}
	return nil
}

// useClient has a number of set-ups open on a connection until it ends or the time is over.
func (s *apiSession) useClient(client *callrpc.Client, placers int, until time.Time, seed uint64) {
	var all sync.WaitGroup
	for i := range placers {
		all.Go(func() {
			s.placeUntil(client, until, rand.New(rand.NewPCG(seed, uint64(i))), placers == busyPlacers)
		})
	}
	all.Wait()
}

// placeUntil places calls one after the other until the connection ends or the time is over.
func (s *apiSession) placeUntil(client *callrpc.Client, until time.Time, rng *rand.Rand, busy bool) {
	for time.Now().Before(until) && s.place(client, rng) {
		pause := between(rng, 50*time.Millisecond, 400*time.Millisecond)
		if busy {
			pause /= 20
		}
		time.Sleep(pause)
	}
}

// place places one call and records its outcome. It reports false once the connection has ended.
func (s *apiSession) place(client *callrpc.Client, rng *rand.Rand) bool {
	t := s.trial
	class := t.Deployment.Classes[rng.IntN(len(t.Deployment.Classes))]
	first := rng.IntN(t.Servers)
	id := isup.CallID(t.lastID.Add(1))
	call := callrpc.Call{ID: id.String(), Class: class.Name, Number: fmt.Sprintf("%016x", rng.Uint64()), FirstChoice: &first,
		DeadlineMs: class.Deadline.Milliseconds(), Description: []byte("offer " + id.String())}
	if tenants := t.Deployment.Tenants; len(tenants) > 0 {
		call.Tenant = tenants[rng.IntN(len(tenants))].Name
	}
	t.cluster.World.Check.AddCall(id)
	sentAt := time.Now()
	t.recorder.mu.Lock()
	t.recorder.records[id] = &record{id: id, agent: s.agent, life: s.life, class: class.Name, left: class.Deadline, sentAt: sentAt, endNotOwed: true}
	t.recorder.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), class.Deadline+2*time.Second)
	defer cancel()
	standing, err := client.SetUp(ctx, call)
	now := time.Now()
	_, answered := callrpc.AsError(err)
	switch {
	case err == nil:
		t.recorder.with(id, func(c *record) {
			c.answers = append(c.answers, answer{now, true, string(standing.Description)})
		})
		s.checkAllowed(id, sentAt)
	case answered:
		t.recorder.with(id, func(c *record) { c.answers = append(c.answers, answer{at: now}) })
	case ctx.Err() == nil:
		t.recorder.with(id, func(c *record) { c.connEnded, c.connError = now, err.Error() })
		return false
	}
	s.checkEnded(now)
	return true
}

// checkAllowed checks that a call that stands was placed while its client was allowed to.
func (s *apiSession) checkAllowed(id isup.CallID, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.trial.recorder; !s.forbiddenAt.IsZero() && sentAt.After(s.forbiddenAt) {
		r.report("placed by a client that may not connect", "call %v, sent to a%d at %s, forbidden from %s", id, s.agent, r.seconds(sentAt), r.seconds(s.forbiddenAt))
	}
}

// checkEnded checks that a connection that is still open may be.
func (s *apiSession) checkEnded(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.trial.recorder; !s.endBy.IsZero() && now.After(s.endBy.Add(crossingWithin)) {
		r.report("goes on for ever", "a connection to the API of a%d at %s, to end by %s", s.agent, r.seconds(now), r.seconds(s.endBy))
		s.endBy = time.Time{} // one report is enough
	}
}
