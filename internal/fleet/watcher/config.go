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

// Config is an operators' file, as deploy/rollout.yaml.
type Config struct {
	Service  string    `yaml:"service"` // of this agent, as scopes name it; "": none
	Zone     string    `yaml:"zone"`    // "": the one that the platform's settings name
	Region   string    `yaml:"region"`
	Data     string    `yaml:"data"` // directory of the last known good; "", which no file may have: kept in memory alone
	Machines []Machine `yaml:"machines"`
	Patience string    `yaml:"patience"` // of one watch; "": 2s
	Grace    string    `yaml:"grace"`    // an answer later than patience and this moves the agent to another machine; "": 750ms

	Source net.Addr `yaml:"-"` // machines are called from here; nil: the system's choice
	Life   int64    `yaml:"-"` // when the process started, Unix us; 0: when Open was called
}

// Machine is a control machine.
type Machine struct {
	ID     string `yaml:"id"`
	Client string `yaml:"client"` // host:port of its net/rpc
	Region string `yaml:"region"`
	Zone   string `yaml:"zone"`
}

// LoadConfig reads and proves a file. An error names the file, and the line or the field.
func LoadConfig(path string) (Config, error) { return yamlfile.Load[Config](path) }

// Valid names each field that can't be used.
func (c Config) Valid() error {
	var refused []error
	if c.Data == "" {
		refused = append(refused, errors.New("field data: empty; the last known good needs a directory of its own"))
	}
	_, err := c.parseTiming()
	return errors.Join(append(refused, err)...)
}

// The bounds of a watch's patience and grace.
const (
	minPatience = 100 * time.Millisecond
	maxPatience = time.Minute
	minGrace    = 50 * time.Millisecond
	maxGrace    = 10 * time.Second
)

// timing are a file's times, ready for use.
type timing struct{ patience, grace time.Duration }

// parseTiming reads the times and names each field that can't be used, but for data.
func (c Config) parseTiming() (timing, error) {
	s := timing{2 * time.Second, 750 * time.Millisecond}
	refused := CheckMachines(c.Machines)
	for _, f := range []struct {
		name, text  string
		least, most time.Duration
		to          *time.Duration
	}{{"patience", c.Patience, minPatience, maxPatience, &s.patience}, {"grace", c.Grace, minGrace, maxGrace, &s.grace}} {
		if f.text == "" {
			continue
		}
		d, err := time.ParseDuration(f.text)
		if err != nil || d < f.least || d > f.most {
			refused = append(refused, fmt.Errorf("field %s: %q is no duration from %v to %v", f.name, f.text, f.least, f.most))
			continue
		}
		*f.to = d
	}
	return s, errors.Join(refused...)
}

// CheckMachines names each field of a list of control machines that can't be used.
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

// rankMachines is the machines in an agent's order: those of its region before the others, and among
// those by rendezvous hashing (Thaler and Ravishankar 1998), so that agents spread evenly over
// the machines, and the agents of one that is lost spread evenly over the rest.
func rankMachines(machines []Machine, agent, region string) []Machine {
	abroad := func(m Machine) int {
		if m.Region == region {
			return 0
		}
		return 1
	}
	out := slices.Clone(machines)
	slices.SortFunc(out, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(abroad(a), abroad(b)), cmp.Compare(rendezvousWeight(agent, b.ID), rendezvousWeight(agent, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func rendezvousWeight(agent, machine string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(agent))
	h.Write([]byte{0})
	h.Write([]byte(machine))
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9 // splitmix64's finalizer, as in package shard: FNV alone is uneven
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
