package zonelab

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"woodrouter/failover"
	"woodrouter/internal/faultnet"
	"woodrouter/internal/fleet/placer"
	"woodrouter/internal/lab"
	"woodrouter/internal/standin"
	"woodrouter/isup"
)

var bin string

func TestMain(m *testing.M) { os.Exit(lab.BuildAndRun(m, &bin)) }

// zoneTest runs six agents in four zones of two regions, with a setup server in each zone and a link from
// each zone's agents to each server.
type zoneTest struct {
	t          *testing.T
	fleet      *lab.Fleet
	servers    map[string]*standin.Server
	links      map[string]map[string]*faultnet.Link // by the agents' zone, then by the server's zone
	mu         sync.Mutex
	asked      map[isup.CallID]string   // the agent at which each call was placed
	receivedBy map[isup.CallID][]string // the zones whose server received the call's set-up, in order
	lastCall   isup.CallID
}

var zones = []string{"z1", "z2", "z3", "z4"}

func region(zone string) string { return map[string]string{"z1": "r1", "z2": "r1"}[zone] }

func newZoneTest(t *testing.T) *zoneTest {
	test := &zoneTest{t: t, servers: map[string]*standin.Server{}, links: map[string]map[string]*faultnet.Link{},
		asked: map[isup.CallID]string{}, receivedBy: map[isup.CallID][]string{}}
	bulletins := map[string]*standin.Bulletin{}
	for _, z := range zones {
		test.answerSetUps(z, standin.NewServer(t, ""))
	}
	for _, from := range zones {
		var list []map[string]any
		test.links[from] = map[string]*faultnet.Link{}
		for i, to := range zones {
			l, err := faultnet.NewLink(test.servers[to].Addr, uint64(i))
			require.NoError(t, err)
			t.Cleanup(l.Close)
			test.links[from][to] = l
			e := standin.Endpoint("s-"+to, l.Addr(), i, "up")
			e["zone"] = to
			list = append(list, e)
		}
		bulletins[from] = standin.NewBulletin(t, list...)
	}
	share := func(v float64) *float64 { return &v }
	var err error
	test.fleet, err = lab.StartFleet(bin, t.TempDir(), 6, 11, lab.FleetConfig{Zones: 4, NoCalls: true,
		Settings: json.RawMessage(strings.Replace(lab.LongDeadlineSettings, "[[0]]", "[[0,1,2,3]]", 1)),
		Bulletin: func(z string) (string, any) { return bulletins[z].Addr, bulletins[z].EventsAfter(0) },
		Timing:   lab.SlowTiming,
		Failover: &placer.Config{Mode: "common", Every: "300ms", Fresh: "2s",
			Topology: failover.Topology{Zones: []failover.Zone{{Name: "z1", Region: "r1"}, {Name: "z2", Region: "r1"}, {Name: "z3", Region: "r2"}, {Name: "z4", Region: "r2"}}},
			Settings: placer.SettingsConfig{Dwell: "1500ms", Ramp: "1s", RampFrom: share(0.9), Margin: share(0.1)}}})
	require.NoError(t, err)
	t.Cleanup(func() {
		test.fleet.Close()
		if t.Failed() {
			t.Log(test.fleet.Logs())
		}
	})
	return test
}

// answerSetUps makes a zone's server answer every set-up at once, and records each.
func (w *zoneTest) answerSetUps(zone string, s *standin.Server) {
	w.servers[zone] = s
	go func() {
		for g := range s.Received {
			if g.Type == isup.SetUp {
				w.mu.Lock()
				w.receivedBy[g.Call] = append(w.receivedBy[g.Call], zone)
				w.mu.Unlock()
				g.Answer(fmt.Sprint("room of ", g.Call))
			}
		}
	}()
}

// placeCalls places n calls at an agent, one after another, and returns how many stood and how many
// set-ups each zone received.
func (w *zoneTest) placeCalls(agent string, n int) (stood int, got map[string]int) {
	c := standin.NewCaller(w.t, w.fleet.Agents[agent].Listen)
	got = map[string]int{}
	for range n {
		w.mu.Lock()
		w.lastCall++
		id := w.lastCall
		w.asked[id] = agent
		w.mu.Unlock()
		c.SetUp(id, "voice", 3*time.Second, 0)
		m, err := c.Next()
		require.NoError(w.t, err, agent)
		if m.Type == isup.Answer {
			stood++
		}
		w.mu.Lock()
		for _, z := range w.receivedBy[id] {
			got[z]++
		}
		w.mu.Unlock()
	}
	return stood, got
}

// checkPlacement places n calls at every agent except those named. All calls must stand, in the agent's
// zone or in the one that where maps it to, and the agent's counts of set-ups at home and away must match
// what the servers received. (An agent also counts a set-up that it wrote to a connection whose peer has
// just died, although no server received it. Here all servers are alive or get no calls.)
func (w *zoneTest) checkPlacement(n int, where map[string]string, but ...string) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for name, a := range w.fleet.Agents {
		if strings.Contains(fmt.Sprint(but), name) {
			continue
		}
		want := a.Member.Zone
		if z, ok := where[want]; ok {
			want = z
		}
		require.NoError(w.t, w.fleet.AwaitLeaders(ctx, name))
		home, away := w.reportedSetUps(name)
		stood, got := w.placeCalls(name, n)
		require.Equal(w.t, map[string]int{want: n}, got, "set-ups of %s", name)
		require.Equal(w.t, n, stood, name)
		if want == a.Member.Zone {
			home += n
		} else {
			away += n
		}
		nowHome, nowAway := w.reportedSetUps(name)
		require.Equal(w.t, []int{home, away}, []int{nowHome, nowAway}, "set-ups that %s reports, home and away", name)
	}
}

// awaitMode waits until every agent, except those named, has a zone's mode in force.
func (w *zoneTest) awaitMode(zone, mode string, but ...string) time.Duration {
	w.t.Helper()
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second) // the bound in docs/failover.md
	defer cancel()
	for name := range w.fleet.Agents {
		if !strings.Contains(fmt.Sprint(but), name) {
			require.NoError(w.t, w.fleet.AwaitConsole(ctx, name, "ZONES", fmt.Sprintf("zone %s: %s ", zone, mode)))
		}
	}
	return time.Since(began)
}

var setUpCounts = regexp.MustCompile(`set-ups of voice: (\d+) home (\d+) away`)

// reportedSetUps returns the set-ups that an agent has counted so far.
func (w *zoneTest) reportedSetUps(agent string) (home, away int) {
	m := setUpCounts.FindStringSubmatch(w.fleet.ConsoleCommand(agent, "ZONES"))
	require.NotNil(w.t, m, agent)
	home, _ = strconv.Atoi(m[1])
	away, _ = strconv.Atoi(m[2])
	return home, away
}

// TestZones guards these properties of zone failover. Calls stay in their zone while all is healthy. When
// a zone is lost, one epoch moves its calls to the other zone of its region for all agents, and they
// return with the zone. A zone that is cut off keeps its last epoch, and no other zone sends to it.
// Killing the decider does not stop a failover. A flapping link and 300 ms between regions change
// nothing. No call is sent to two zones, and agents' counts of traffic across zones match what servers
// received.
func TestZones(t *testing.T) {
	test := newZoneTest(t)
	test.awaitMode("z1", "local")
	test.checkPlacement(10, nil)

	across := func(from, to string) bool { return region(from) != region(to) }
	test.fleet.Delay(150*time.Millisecond, across) // 300 ms round trip
	test.checkPlacement(2, nil)

	began := time.Now()
	test.servers["z1"].Crash()
	stood, _ := test.placeCalls("a1", 1) // may be lost: the agent does not know yet that the zone is dead
	test.awaitMode("z1", "evacuate")
	t.Logf("z1 lost: new epoch everywhere after %v, %d of 1 call lost", time.Since(began), 1-stood)
	test.checkPlacement(2, map[string]string{"z1": "z2"})
	test.fleet.Delay(0, across)

	test.answerSetUps("z1", standin.NewServer(t, test.servers["z1"].Addr)) // z1's server restarts, cold
	t.Logf("z1 back: local everywhere after %v", test.awaitMode("z1", "local"))
	test.checkPlacement(5, nil)

	decider := test.decider()
	began = time.Now()
	test.servers["z2"].Crash()
	test.fleet.Agents[decider].Kill()
	test.placeCalls(map[bool]string{true: "a2", false: "a6"}[decider != "a2"], 1)
	test.awaitMode("z2", "evacuate", decider)
	t.Logf("z2 lost and the decider %s killed: new epoch after %v", decider, time.Since(began))
	test.checkPlacement(5, map[string]string{"z2": "z1"}, decider)
	test.answerSetUps("z2", standin.NewServer(t, test.servers["z2"].Addr))
	require.NoError(t, test.fleet.Start(decider))
	test.awaitMode("z2", "local")

	for range 4 { // flap an agent's links to all others
		test.fleet.Partition("a3")
		test.fleet.Partition()
	}
	test.checkPlacement(5, nil)

	test.isolateZone("z3", "a3")
	epoch := test.epoch("a3")
	t.Logf("z3 cut off: new epoch after %v", test.awaitMode("z3", "evacuate", "a3"))
	before := test.servers["z3"].Count(isup.SetUp, 0)
	test.checkPlacement(5, nil, "a3")
	require.Equal(t, before, test.servers["z3"].Count(isup.SetUp, 0), "an agent outside sent to the isolated zone")
	require.Equal(t, epoch, test.epoch("a3"), "the isolated agent got a new epoch")
	stood, got := test.placeCalls("a3", 5) // it continues to serve its callers in its own zone
	require.Equal(t, 5, stood)
	require.Equal(t, map[string]int{"z3": 5}, got)
	test.heal()
	test.awaitMode("z3", "local")
	test.checkPlacement(5, nil)

	test.mu.Lock()
	for id, zones := range test.receivedBy {
		require.Len(t, zones, 1, "call %v was sent to %v", id, zones)
	}
	test.mu.Unlock()
}

// decider returns the agent that made the epoch in force.
func (w *zoneTest) decider() string {
	for name := range w.fleet.Agents {
		if m := regexp.MustCompile(`epoch \d+ by (a\d)`).FindStringSubmatch(w.fleet.ConsoleCommand(name, "ZONES")); m != nil {
			return m[1]
		}
	}
	w.t.Fatal("no agent reports the decider of its epoch")
	return ""
}

func (w *zoneTest) epoch(agent string) string {
	first, _, _ := strings.Cut(w.fleet.ConsoleCommand(agent, "ZONES"), "\n")
	return first
}

// isolateZone partitions a zone's agents and server from all others.
func (w *zoneTest) isolateZone(zone string, agents ...string) {
	w.fleet.Partition(agents...)
	for from, byZone := range w.links {
		for to, l := range byZone {
			if (from == zone) != (to == zone) {
				l.Set(faultnet.Drop, 0, 0)
				l.Reset()
			}
		}
	}
}

func (w *zoneTest) heal() {
	w.fleet.Partition()
	for _, byZone := range w.links {
		for _, l := range byZone {
			l.Set(faultnet.Pass, 0, 0)
			l.Reset()
		}
	}
}

// TestZoneSchedule injects a short seeded schedule of faults while callers place calls at every agent.
// The operators' long run is `woodlab zones schedules`.
func TestZoneSchedule(t *testing.T) {
	r, err := ZoneSchedule{Seed: 2, Agents: 6, Steps: 3}.Run(context.Background(), bin, t.TempDir())
	require.NoError(t, err)
	require.NoError(t, r.Err())
	t.Logf("%v: %v, %d of %d calls stood, moved after %v, back after %v", r.Took, r.Faults, r.Stood, r.Calls, r.MoveTimes, r.RecoveryTimes)
}
