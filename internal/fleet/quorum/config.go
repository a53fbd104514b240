// Package quorum replicates a state machine with a log on github.com/hashicorp/raft, stored by
// github.com/hashicorp/raft-boltdb/v2. It provides a member's stores, transport, bootstrap,
// snapshots and logging, the outcomes of proposals, and a client that follows the leader. Its
// users supply the state machine, which interprets the entries: internal/fleet/replica (promises)
// and internal/fleet/control (the distribution of configuration).
package quorum

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// Config is the part of a member's configuration file that does not depend on the state machine.
type Config struct {
	ID        string            `yaml:"id"`                  // this member's name in the group
	Raft      string            `yaml:"raft"`                // host:port on which raft listens
	Advertise string            `yaml:"advertise,omitempty"` // host:port other members dial; "": Raft
	Client    string            `yaml:"client"`              // host:port on which clients are served (net/rpc)
	Data      string            `yaml:"data"`                // the directory of log, stable store and snapshots
	Bootstrap []Peer            `yaml:"bootstrap,omitempty"` // first members of a new group; empty: join later
	Links     map[string]string `yaml:"links,omitempty"`     // address to dial (a proxy) by advertised address
	Snapshot  SnapshotConfig    `yaml:"snapshot,omitempty"`
	Timing    TimingConfig      `yaml:"timing,omitempty"`
}

// Peer is one member: its id and advertised raft address.
type Peer struct {
	ID   string `yaml:"id"`
	Raft string `yaml:"raft"`
	// Voter is false for a member that receives the log but takes no part in commits and elections;
	// nil means that it votes.
	Voter *bool `yaml:"voter,omitempty"`
}

// Votes reports whether the member is a voter.
func (p Peer) Votes() bool { return p.Voter == nil || *p.Voter }

// SnapshotConfig sets when the log is compacted.
type SnapshotConfig struct {
	Entries uint64 `yaml:"entries,omitempty"` // log entries between snapshots; 0: 8192
	Keep    int    `yaml:"keep,omitempty"`    // snapshots kept on disk, at least 2; 0: 2
}

// TimingConfig sets raft's timers as Go durations; empty fields are as in DefaultTiming.
type TimingConfig struct {
	Heartbeat string `yaml:"heartbeat,omitempty"` // a follower without contact this long calls an election
	Election  string `yaml:"election,omitempty"`  // a candidate without a leader this long calls another election
	Commit    string `yaml:"commit,omitempty"`    // the longest wait before followers are told of a commit
	Lease     string `yaml:"lease,omitempty"`     // a leader without a quorum's contact this long steps down
}

// Valid returns an error that names the first unusable field.
func (c Config) Valid() error {
	if c.ID == "" {
		return errors.New("field id: empty")
	}
	if c.Data == "" {
		return errors.New("field data: empty; a member needs a directory of its own")
	}
	for _, f := range []struct{ name, addr string }{{"raft", c.Raft}, {"client", c.Client}} {
		if err := CheckAddress(f.addr); err != nil {
			return fmt.Errorf("field %s: %w", f.name, err)
		}
	}
	if err := c.validBootstrap(); err != nil {
		return err
	}
	_, err := c.Timing.Durations()
	return err
}

func (c Config) validBootstrap() error {
	seen, voters := map[string]bool{}, 0
	for i, p := range c.Bootstrap {
		if p.ID == "" || p.Raft == "" {
			return fmt.Errorf("field bootstrap[%d]: a member needs id and raft", i)
		}
		if seen[p.ID] {
			return fmt.Errorf("field bootstrap[%d].id: %q twice", i, p.ID)
		}
		seen[p.ID] = true
		if p.Votes() {
			voters++
		}
	}
	switch {
	case len(c.Bootstrap) == 0:
		return nil
	case !seen[c.ID]:
		return fmt.Errorf("field bootstrap: this member %q is not among them", c.ID)
	case voters == 0:
		return errors.New("field bootstrap: no voter among them; nothing could be committed")
	case voters%2 == 0:
		return fmt.Errorf("field bootstrap: %d voters survive no more failures than %d would, and a network "+
			"partition can split them in half: set voter: false for one of them", voters, voters-1)
	}
	return nil
}

// CheckAddress returns an error if addr is not of the form host:port.
func CheckAddress(addr string) error {
	if addr == "" {
		return errors.New("empty; host:port")
	}
	_, _, err := net.SplitHostPort(addr)
	return err
}

// Timing holds raft's timers, as parsed from a TimingConfig.
type Timing struct{ Heartbeat, Election, Commit, Lease time.Duration }

// DefaultTiming is for members on one campus: a leader that is killed is replaced within about a
// second. Raft's own defaults (1 s heartbeat) suit wide-area groups.
var DefaultTiming = Timing{Heartbeat: 300 * time.Millisecond, Election: 300 * time.Millisecond,
	Commit: 20 * time.Millisecond, Lease: 150 * time.Millisecond}

// ParseDuration parses the text of a field and stores the duration in *to. An empty text leaves
// *to unchanged. An error names the field.
func ParseDuration(field, text string, to *time.Duration) error {
	if text == "" {
		return nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return fmt.Errorf("field %s: %q is not a positive duration", field, text)
	}
	*to = d
	return nil
}

// Durations parses the timers. An error names the field.
func (t TimingConfig) Durations() (Timing, error) {
	out := DefaultTiming
	for _, f := range []struct {
		name, text string
		to         *time.Duration
	}{{"heartbeat", t.Heartbeat, &out.Heartbeat}, {"election", t.Election, &out.Election},
		{"commit", t.Commit, &out.Commit}, {"lease", t.Lease, &out.Lease}} {
		if err := ParseDuration("timing."+f.name, f.text, f.to); err != nil {
			return out, err
		}
	}
	if out.Lease > out.Heartbeat {
		return out, fmt.Errorf("field timing.lease: %v is longer than the heartbeat %v, which raft refuses",
			out.Lease, out.Heartbeat)
	}
	return out, nil
}
