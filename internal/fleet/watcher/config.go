package watcher

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"slices"
	"time"

	"woodrouter/internal/yamlfile"
)

// Config is the operators' file, such as deploy/rollout.yaml.
type Config struct {
	Service string `yaml:"service"` // of this agent, as in scopes; "": none
	Zone    string `yaml:"zone"`    // "": the zone in the platform's settings
	Region  string `yaml:"region"`
	// Data is the directory of the last known good. A file must name one; if it is "" the last known good is
	// kept in memory only.
	Data     string    `yaml:"data"`
	Machines []Machine `yaml:"machines"`
	Patience string    `yaml:"patience"` // maximum duration of one watch; "": 2s
	// Grace is how long after Patience an answer may come before the agent tries another machine; "": 750ms.
	Grace string `yaml:"grace"`

	Source net.Addr `yaml:"-"` // local address of connections to machines; nil: chosen by the system
	Life   int64    `yaml:"-"` // when the process started, Unix µs; 0: when Open is called
}

// Machine is a control machine.
type Machine struct {
	ID     string `yaml:"id"`
	Client string `yaml:"client"` // host:port of its net/rpc service
	Region string `yaml:"region"`
	Zone   string `yaml:"zone"`
}

// LoadConfig reads and validates a file. An error names the file, and the line or the field.
func LoadConfig(path string) (Config, error) { return yamlfile.Load[Config](path) }

// Valid returns an error that names each invalid field.
func (c Config) Valid() error {
	var refused []error
	if c.Data == "" {
		refused = append(refused, errors.New("field data: empty; the last known good needs a directory of its own"))
	}
	_, err := c.parseTiming()
	return errors.Join(append(refused, err)...)
}

// Bounds of patience and grace.
const (
	minPatience = 100 * time.Millisecond
	maxPatience = time.Minute
	minGrace    = 50 * time.Millisecond
	maxGrace    = 10 * time.Second
)

// timing holds the durations of a file.
type timing struct{ patience, grace time.Duration }

// parseTiming returns the durations, or an error that names each invalid field except data.
func (c Config) parseTiming() (timing, error) {
	s := timing{2 * time.Second, 750 * time.Millisecond}
	refused := CheckMachines(c.Machines)
	for _, f := range []struct {
		name, text       string
		minimum, maximum time.Duration
		target           *time.Duration
	}{{"patience", c.Patience, minPatience, maxPatience, &s.patience}, {"grace", c.Grace, minGrace, maxGrace, &s.grace}} {
		if f.text == "" {
			continue
		}
		d, err := time.ParseDuration(f.text)
		if err != nil || d < f.minimum || d > f.maximum {
			refused = append(refused, fmt.Errorf("field %s: %q is no duration from %v to %v", f.name, f.text, f.minimum, f.maximum))
			continue
		}
		*f.target = d
	}
	return s, errors.Join(refused...)
}

// CheckMachines returns an error for each invalid field of a list of control machines.
func CheckMachines(machines []Machine) (refused []error) {
	if len(machines) == 0 {
		refused = append(refused, errors.New("field machines: empty"))
	}
	seen := map[string]bool{}
	for i, m := range machines {
		if m.ID == "" || seen[m.ID] {
			refused = append(refused, fmt.Errorf("field machines[%d].id: %q is empty or there twice", i, m.ID))
		}
		seen[m.ID] = true
		if _, _, err := net.SplitHostPort(m.Client); err != nil {
			refused = append(refused, fmt.Errorf("field machines[%d].client: %w", i, err))
		}
	}
	return refused
}

// rankMachines returns the machines in the order in which an agent tries them: those of its region first, and
// within each part by rendezvous hashing (Thaler and Ravishankar 1998). So the agents are distributed evenly
// over the machines, and the agents of a lost machine evenly over the others.
func rankMachines(machines []Machine, agent, region string) []Machine {
	otherRegion := func(m Machine) int {
		if m.Region == region {
			return 0
		}
		return 1
	}
	out := slices.Clone(machines)
	slices.SortFunc(out, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(otherRegion(a), otherRegion(b)), cmp.Compare(rendezvousWeight(agent, b.ID), rendezvousWeight(agent, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// rendezvousWeight returns the weight of a machine for an agent.
func rendezvousWeight(agent, machine string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(agent))
	h.Write([]byte{0})
	h.Write([]byte(machine))
	x := h.Sum64()
	// splitmix64's finalizer, as in package shard: FNV alone distributes unevenly.
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
