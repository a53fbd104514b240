package placer

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"woodrouter/agent"
	"woodrouter/failover"
)

// TestRestrictToZone: a call may use the pools of its zone that its class and route allow. If this agent sees
// no live server in the planned zone, the call stays in the home zone. If the zone has no allowed pool, the
// nearest zone that has one is used.
func TestRestrictToZone(t *testing.T) {
	top := failover.Topology{Zones: []failover.Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}, {Name: "c", Region: "s"}}}
	p, err := New(Config{Mode: "local", Topology: top}, "n1", "a", nil, nil, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	away := failover.Plan{Zones: map[string]failover.Placement{"a": {Shares: []failover.Share{{Zone: "b", Part: 1}}}}}
	up := map[string]agent.ZoneObservation{"a": {Up: 2, Pools: []int{0, 1}}, "b": {Up: 2, Pools: []int{2, 3}}, "c": {Up: 1, Pools: []int{4}}}
	dead := map[string]agent.ZoneObservation{"a": up["a"], "b": {Pools: []int{2, 3}}}
	cases := []struct {
		name         string
		plan         failover.Plan
		seen         map[string]agent.ZoneObservation
		route, class []int
		want         []int
	}{
		{"home", failover.Plan{}, up, nil, nil, []int{0, 1}},
		{"home, restricted by class and route", failover.Plan{}, up, []int{1, 2}, []int{0, 1}, []int{1}},
		{"evacuated", away, up, nil, nil, []int{2, 3}},
		{"evacuated to a zone without a live server", away, dead, nil, nil, []int{0, 1}},
		{"no pool there for the class: the nearest zone", failover.Plan{}, up, nil, []int{3, 4}, []int{3}},
		{"no pool anywhere: the route is unchanged", failover.Plan{}, up, []int{9}, nil, []int{9}},
		{"nothing observed yet", failover.Plan{}, nil, nil, nil, nil},
	}
	for _, c := range cases {
		p.plan.Store(&c.plan)
		p.zones.Store(&c.seen)
		require.Equal(t, c.want, p.RestrictToZone(agent.Route{Pools: c.route}, c.class, "voice", "1").Pools, c.name)
	}
}

// TestLoadConfig: an error names each invalid field.
func TestLoadConfig(t *testing.T) {
	top := "topology: {zones: [{name: a, region: r}]}\n"
	cases := map[string]string{
		"mode: local\n":                                 "",
		"mode: common\n" + top:                          "field members: missing",
		"mode: alone\n" + top:                           "field mode",
		"mode: common\nmembers: {bind: 'x:1'}\n" + top:  "members: field bind",
		"mode: common\nmembers: {bind: '127.0.0.1:1'}":  "topology: field zones: empty",
		"mode: local\nfresh: 1s\nevery: 1s\n":           "field fresh",
		"mode: local\nsettings: {dwell: soon}\n":        "field settings.dwell",
		"mode: local\nsettings: {margin: 2}\n":          "settings: field margin",
		"mode: local\nsettings: {budget: {voice: 3}}\n": "settings: field budget.voice",
		"mode: local\nbogus: 1\n":                       "bogus",
	}
	for text, want := range cases {
		path := filepath.Join(t.TempDir(), "f.yaml")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := LoadConfig(path)
		if want == "" {
			require.NoError(t, err, text)
		} else {
			require.ErrorContains(t, err, want, text)
		}
	}
	for _, deployed := range []string{"failover.yaml", "failover-local.yaml"} {
		_, err := LoadConfig("../../../deploy/" + deployed)
		require.NoError(t, err, deployed)
	}
}

// TestReconfigure: a distributed document changes topology, settings and durations while the agent runs. It
// is refused, and changes nothing, if it has members or another mode or zone than the agent, if its topology
// lacks the agent's zone, or if a value is invalid.
func TestReconfigure(t *testing.T) {
	const zones = "topology: {zones: [{name: a, region: r}, {name: b, region: r}, {name: c, region: s}]"
	own := Config{Mode: "local", Every: "1s", Topology: failover.Topology{Zones: []failover.Zone{{Name: "a", Region: "r"}}}}
	p, err := New(own, "n1", "a", nil, nil, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	for text, want := range map[string]string{
		zones + "}\nsettings: {margin: 0.3}\nevery: 200ms\n":              "",
		zones + ", distances: [{between: [a, c], cost: 1}]}\nmode: local": "",
		"mode: common\n" + zones + "}\n":                                  "failover: field mode",
		"zone: b\n" + zones + "}\n":                                       `field zone: "b"`,
		"members: {bind: '127.0.0.1:1'}\n" + zones + "}\n":                "field members",
		"topology: {zones: [{name: b, region: r}]}\n":                     `zone "a" is none of them`,
		"settings: {margin: 2}\n":                                         "settings: field margin",
		"settings: {margin: wide}\n":                                      "failover: [1:20]",
		"every: 10s\n":                                                    "field fresh",
	} {
		before := *p.live.Load()
		cfg, err := own.Distributed("failover", []byte(text), "a")
		if err == nil {
			err = p.Reconfigure(cfg)
		}
		if want != "" {
			require.ErrorContains(t, err, want, text)
			require.Equal(t, before, *p.live.Load(), text)
			continue
		}
		require.NoError(t, err, text)
		require.Len(t, p.live.Load().topology.Zones, 3)
	}
	p.plan.Store(&failover.Plan{Zones: map[string]failover.Placement{"a": {Shares: []failover.Share{{Zone: "c", Part: 1}}}}})
	p.zones.Store(&map[string]agent.ZoneObservation{"a": {Up: 1, Pools: []int{0}}, "c": {Up: 1, Pools: []int{4}}, "b": {Up: 1, Pools: []int{2}}})
	require.Equal(t, []int{2}, p.RestrictToZone(agent.Route{}, []int{2}, "voice", "1").Pools, "the nearest zone by the new topology")
}
