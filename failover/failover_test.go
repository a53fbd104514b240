package failover

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// secondUs is one second in microseconds.
const secondUs = 1_000_000

// testTopology has four zones in two regions: a1 and a2 in region a, b1 and b2 in region b.
var testTopology = Topology{Zones: []Zone{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}},
	Distances: []Distance{{[2]string{"a1", "b2"}, 5}, {[2]string{"a2", "b1"}, 7}}}

// testView returns a view with the given load and capacity of each zone. All servers are up except in the
// zones of down.
func testView(load, capacity map[string]float64, down ...string) View {
	var all []Summary
	for _, z := range testTopology.Zones {
		s := Summary{Agent: z.Name, Zone: z.Name, Offered: map[string]float64{"voice": load[z.Name]}, Seen: map[string]Sight{}}
		for _, other := range testTopology.Zones {
			s.Seen[other.Name] = Sight{Listed: 4, Up: 4, Capacity: capacity[other.Name]}
		}
		for _, zone := range down {
			s.Seen[zone] = Sight{Listed: 4, Up: 0}
		}
		all = append(all, s)
	}
	return Aggregate(all, 0, secondUs)
}

// allZones returns the same value for each zone.
func allZones(n float64) map[string]float64 {
	return map[string]float64{"a1": n, "a2": n, "b1": n, "b2": n}
}

// withZone sets the value of one zone in m and returns m.
func withZone(m map[string]float64, zone string, n float64) map[string]float64 { m[zone] = n; return m }

// TestDecide checks the placement of zone a1 and the reported trades from normal load to the loss of all
// zones. A wrong decision would send calls to a zone that can't take them, or out of their region without
// need.
func TestDecide(t *testing.T) {
	limited := Defaults
	limited.Budget = map[string]float64{"voice": 0.1}
	cases := []struct {
		name       string
		settings   Settings
		view       View
		want       string // placement of a1
		wantTrades string // Plan.Trades
	}{
		{"normal load: all calls stay", Defaults, testView(allZones(80), allZones(100)), "local []", ""},
		{"unknown capacity: all calls stay", Defaults, testView(allZones(80), allZones(0)), "local []", ""},
		{"above the margin: the excess goes to the region's other zone", Defaults, testView(withZone(allZones(50), "a1", 100), allZones(100)), "spill [{a2 0.1}]", ""},
		{"region full: the excess goes to the nearest zone of the other region", Defaults, testView(map[string]float64{"a1": 150, "a2": 80, "b1": 0, "b2": 0}, allZones(100)),
			"region [{a2 0.067} {b2 0.333}]", ""},
		{"zone lost: all calls go to the region's other zone", Defaults, testView(allZones(40), allZones(100), "a1"), "evacuate [{a2 1}]", ""},
		{"region lost: all calls go to the nearest zone", Defaults, testView(allZones(40), allZones(100), "a1", "a2"), "region [{b2 1}]", ""},
		{"all zones lost: calls stay and are refused", Defaults, testView(allZones(40), allZones(100), "a1", "a2", "b1", "b2"), "local []", "[{a1 capacity  40} {a2 capacity  40} {b1 capacity  40} {b2 capacity  40}]"},
		{"all zones full: calls stay", Defaults, testView(allZones(100), allZones(100)), "local []", "[{a1 capacity  10} {a2 capacity  10} {b1 capacity  10} {b2 capacity  10}]"},
		{"the budget keeps calls in a lost zone and reports them", limited, testView(allZones(40), allZones(100), "a1"), "evacuate [{a2 1}] map[voice:0.1]", "[{a1 budget voice 36}]"},
	}
	for _, c := range cases {
		p, changed := Decide(Plan{}, testTopology, c.settings, c.view, secondUs, "d")
		z := p.Zones["a1"]
		for i := range z.Shares {
			z.Shares[i].Part = round(z.Shares[i].Part)
		}
		got := fmt.Sprint(z.Mode, " ", z.Shares)
		if z.Caps != nil {
			got += fmt.Sprint(" ", z.Caps)
		}
		trades := ""
		if p.Trades != nil {
			trades = fmt.Sprint(p.Trades)
		}
		if got != c.want || trades != c.wantTrades || !changed || p.Epoch != 1 {
			t.Errorf("%s: %s, trades %s; want %s, trades %s", c.name, got, trades, c.want, c.wantTrades)
		}
	}
}

// TestDwell checks that a zone that fails and recovers faster than the dwell time gets no calls back (they
// would be lost at its next failure), and that one that stays healthy gets them back gradually.
func TestDwell(t *testing.T) {
	load, caps := allZones(40), allZones(100)
	up, down := testView(load, caps), testView(load, caps, "a1")
	p, _ := Decide(Plan{}, testTopology, Defaults, up, 0, "d")
	epochs := p.Epoch
	now := int64(0)
	for range 5 { // down 2 s, up 8 s
		p, _ = Decide(p, testTopology, Defaults, down, now+secondUs, "d")
		for i := range int64(8) {
			p, _ = Decide(p, testTopology, Defaults, up, now+(3+i)*secondUs, "d")
			if p.Zones["a1"].Mode != ModeEvacuate {
				t.Fatalf("at %d s a flapping zone has calls again before its dwell time has passed: %+v", now/secondUs+3+i, p.Zones["a1"])
			}
		}
		now += 10 * secondUs
	}
	if p.Epoch-epochs > 11 {
		t.Errorf("%d epochs for five flaps", p.Epoch-epochs)
	}
	back, _ := Decide(p, testTopology, Defaults, up, now+3*secondUs, "d")
	if a := back.Zones["a1"].awayShare(); round(a) != 0.438 { // it keeps 22.5 of 40 calls: a quarter of 90
		t.Errorf("just recovered, it sends %.2f of its calls away, want 0.438", a)
	}
	warm, _ := Decide(back, testTopology, Defaults, up, now+30*secondUs, "d")
	if warm.Zones["a1"].Mode != ModeLocal {
		t.Errorf("not local after the ramp: %+v", warm.Zones["a1"])
	}
}

// TestDecideInvariants checks what must hold for every view:
//   - equal arguments give equal plans, and a second decision on the same view changes nothing;
//   - no share goes to a lost zone;
//   - planned load exceeds a zone's usable capacity only by what Trades reports;
//   - no call leaves its region while a zone of the region has capacity.
func TestDecideInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load, caps := map[string]float64{}, map[string]float64{}
		var down []string
		for _, z := range testTopology.Zones {
			load[z.Name] = float64(rapid.IntRange(0, 200).Draw(t, "load"))
			caps[z.Name] = float64(rapid.IntRange(1, 200).Draw(t, "capacity"))
			if rapid.IntRange(0, 4).Draw(t, "down") == 0 {
				down = append(down, z.Name)
			}
		}
		v := testView(load, caps, down...)
		p, _ := Decide(Plan{}, testTopology, Defaults, v, secondUs, "d")
		again, _ := Decide(Plan{}, testTopology, Defaults, v, secondUs, "d")
		if !reflect.DeepEqual(p, again) {
			t.Fatal("two decisions on one view differ")
		}
		if _, changed := Decide(p, testTopology, Defaults, v, secondUs, "e"); changed {
			t.Fatalf("new plan from an unchanged view: %+v", p)
		}
		plannedLoad := map[string]float64{}
		for zone, place := range p.Zones {
			if away := place.awayShare(); away < 0 || away > 1+1e-9 {
				t.Fatalf("%s sends %v away", zone, away)
			}
			for _, s := range place.Shares {
				if p.States[s.Zone].Lost || s.Part <= 0 {
					t.Fatalf("%s sends %v", zone, s)
				}
				plannedLoad[s.Zone] += s.Part * load[zone]
			}
			plannedLoad[zone] += (1 - place.awayShare()) * load[zone]
		}
		reported := map[string]float64{}
		for _, tr := range p.Trades {
			reported[tr.Zone] += tr.PerSecond
		}
		excess, total := 0.0, 0.0
		for zone, n := range plannedLoad {
			if !p.States[zone].Lost {
				excess += max(n-caps[zone]*0.9, 0)
			}
		}
		for _, n := range reported {
			total += n
		}
		if excess > total+0.01 {
			t.Fatalf("%.1f calls per second planned over capacity, %.1f reported in Trades: %+v", excess, total, p)
		}
		for _, z := range testTopology.Zones {
			for _, other := range testTopology.Zones {
				if z.Region == other.Region && p.Zones[z.Name].Mode == ModeRegion && !p.States[other.Name].Lost && plannedLoad[other.Name] < caps[other.Name]*0.9-0.01 {
					t.Fatalf("calls of %s leave the region while %s has capacity: %+v", z.Name, other.Name, p)
				}
			}
		}
	})
}

// TestAggregate checks that a single agent with a broken connection can't make a zone count as lost, and that
// outdated summaries are ignored.
func TestAggregate(t *testing.T) {
	reportingUp := func(agent string, up int, at int64) Summary {
		return Summary{Agent: agent, Zone: "a1", AtUs: at, Offered: map[string]float64{"voice": 2}, Seen: map[string]Sight{"a1": {Listed: 4, Up: up, Capacity: 50, Tries: 4, Full: 1}}}
	}
	reportingDead := func(agent string, dead float64) Summary {
		return Summary{Agent: agent, Zone: "a1", AtUs: 9 * secondUs, Seen: map[string]Sight{"a1": {Listed: 4, Up: 4, Tries: 3, Dead: dead}}}
	}
	// One of three agents reaches no live server, then two do.
	for _, c := range []struct {
		dead [3]float64
		lost bool
	}{{[3]float64{3, 0, 0}, false}, {[3]float64{3, 2, 0}, true}} {
		var all []Summary
		for i, d := range c.dead {
			all = append(all, reportingDead(fmt.Sprint(i), d))
		}
		if p, _ := Decide(Plan{}, testTopology, Defaults, Aggregate(all, 10*secondUs, 5*secondUs), secondUs, "d"); p.States["a1"].Lost != c.lost {
			t.Errorf("dead tries %v: lost %v", c.dead, !c.lost)
		}
	}
	v := Aggregate([]Summary{reportingUp("1", 4, 9*secondUs), reportingUp("2", 4, 9*secondUs), reportingUp("deaf", 0, 9*secondUs), reportingUp("old", 0, 0)}, 10*secondUs, 5*secondUs)
	h, ok := v.healthSeenBy("a1", "a1")
	if !ok || h.Up != 1 || h.Capacity != 50 || h.Full != 0.25 || v.Agents["a1"] != 3 || v.totalLoad("a1") != 6 {
		t.Errorf("%+v, %d agents, load %v", h, v.Agents["a1"], v.totalLoad("a1"))
	}
}

// TestChooseZone checks that calls are divided as planned, that a class's cap holds, and that a larger share
// moves only additional calls: otherwise every new plan would also bring moved calls back.
func TestChooseZone(t *testing.T) {
	plan := func(part float64) Plan {
		return Plan{Zones: map[string]Placement{"a1": {Mode: ModeSpill, Shares: []Share{{"a2", part}}, Caps: map[string]float64{"group": 0.05}}}}
	}
	away, capped := 0, 0
	for i := range 20_000 {
		call := fmt.Sprintf("%016x", i)
		small, big := plan(0.2).ChooseZone("a1", "voice", call), plan(0.3).ChooseZone("a1", "voice", call)
		if small == "a2" {
			away++
			if big != "a2" {
				t.Fatalf("call %s returned to its zone when the share grew", call)
			}
		}
		if plan(0.2).ChooseZone("a1", "group", call) == "a2" {
			capped++
		}
	}
	if away < 3800 || away > 4200 || capped < 900 || capped > 1100 {
		t.Errorf("%d of 20000 calls sent away, want about 4000; %d of the capped class, want about 1000", away, capped)
	}
	if zone := plan(1).ChooseZone("b1", "voice", "x"); zone != "b1" {
		t.Errorf("a zone that is not in the plan sends its calls to %s", zone)
	}
}

// TestCheck checks that each invalid field gives an error and that the defaults give none.
func TestCheck(t *testing.T) {
	bad := Defaults
	bad.Margin, bad.Budget = 1, map[string]float64{"voice": 2}
	errs := append(bad.Check(), Topology{Zones: []Zone{{"a", ""}, {"b", "r"}, {"b", "r"}}, Distances: []Distance{{[2]string{"b", "c"}, -1}}}.Check()...)
	if len(errs) != 5 || len(Defaults.Check())+len(testTopology.Check()) > 0 {
		t.Errorf("%v", errs)
	}
}
