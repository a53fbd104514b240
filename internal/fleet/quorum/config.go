// Package quorum runs a state machine in a replicated log on github.com/hashicorp/raft, stored
// by github.com/hashicorp/raft-boltdb/v2: a member's stores, transport, first members,
// snapshots and log lines, what a proposal came to, and a client that follows the leader. What
// the entries mean is the machine's that its user brings: promises (internal/fleet/replica) and
// the distribution of configuration (internal/fleet/control).
package quorum

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// Config is the part of a member's operators' file that has no word of what the log holds.
type Config struct {
	ID        string            `yaml:"id"`                  // this member's name in the group
	Raft      string            `yaml:"raft"`                // host:port the log's traffic is taken on
	Advertise string            `yaml:"advertise,omitempty"` // host:port the others reach it at; "": Raft
	Client    string            `yaml:"client"`              // host:port callers reach it at (net/rpc)
	Data      string            `yaml:"data"`                // the data directory: log, stable store, snapshots
	Bootstrap []Peer            `yaml:"bootstrap,omitempty"` // the first members, given to a new group once; empty: join later
	Links     map[string]string `yaml:"links,omitempty"`     // a member's advertised address -> where to dial it (a proxy)
	Snapshot  SnapshotConfig    `yaml:"snapshot,omitempty"`
	Timing    TimingConfig      `yaml:"timing,omitempty"`
}

// Peer is one member: its id and advertised log address.
type Peer struct {
	ID   string `yaml:"id"`
	Raft string `yaml:"raft"`
	// Voter is false for a member that gets the log but has no say in what is committed or who
	// leads; not given: it votes.
	Voter *bool `yaml:"voter,omitempty"`
}

// Votes tells whether a member is a voter.
func (p Peer) Votes() bool { return p.Voter == nil || *p.Voter }

// SnapshotConfig says when the log is compacted.
type SnapshotConfig struct {
	Entries uint64 `yaml:"entries,omitempty"` // entries since the last snapshot that start a new one; 0: 8192
	Keep    int    `yaml:"keep,omitempty"`    // snapshots kept on disk; 0: 2
}

// TimingConfig gives raft's timers as Go durations; empty fields keep those of Defaults.
type TimingConfig struct {
	Heartbeat string `yaml:"heartbeat,omitempty"` // a follower calls an election after this without news
	Election  string `yaml:"election,omitempty"`
	Commit    string `yaml:"commit,omitempty"`
	Lease     string `yaml:"lease,omitempty"`
}

// Valid names the first field that can't be used.
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
		return fmt.Errorf("field bootstrap: %d voters bear the loss of no more than %d would, and a cut can halve them: give one voter: false", voters, voters-1)
	}
	return nil
}

// CheckAddress tells what is wrong with a host:port.
func CheckAddress(addr string) error {
	if addr == "" {
		return errors.New("empty; host:port")
	}
	_, _, err := net.SplitHostPort(addr)
	return err
}

// Timing is raft's timers as durations.
type Timing struct{ Heartbeat, Election, Commit, Lease time.Duration }

// DefaultTiming are the timers for members on one campus: a new leader within about a second of
// a kill. Raft's own defaults (1 s heartbeat) suit wide-area groups.
var DefaultTiming = Timing{Heartbeat: 300 * time.Millisecond, Election: 300 * time.Millisecond,
	Commit: 20 * time.Millisecond, Lease: 150 * time.Millisecond}

// ParseDuration reads a field's text into to, unless it is empty. The error names the field.
func ParseDuration(field, text string, to *time.Duration) error {
	if text == "" {
		return nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return fmt.Errorf("field %s: %q is no positive duration", field, text)
	}
	*to = d
	return nil
}

// Durations reads the timers. An error names the field.
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
		return out, fmt.Errorf("field timing.lease: %v beyond the heartbeat %v (raft refuses it)", out.Lease, out.Heartbeat)
	}
	return out, nil
}
