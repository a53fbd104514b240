// Package replica keeps a call agent's promises (package promise) in a replicated log (package
// quorum), so that a quorum holds each promise before its caller hears it;
// docs/replication.md weighs the ways.
package replica

import (
	"fmt"
	"time"

	"woodrouter/internal/fleet/quorum"
	"woodrouter/internal/yamlfile"
)

// Config is an operators' file of one member, as deploy/replica.yaml.
type Config struct {
	ID        string            `yaml:"id"`        // this member's name in the group
	Raft      string            `yaml:"raft"`      // host:port the log's traffic is taken on
	Advertise string            `yaml:"advertise"` // host:port the others reach it at; "": Raft
	Client    string            `yaml:"client"`    // host:port agents and operators call (net/rpc)
	Data      string            `yaml:"data"`      // the data directory: log, stable store, snapshots
	Bootstrap []Peer            `yaml:"bootstrap"` // the first members, given to a new group once; empty: join later
	Links     map[string]string `yaml:"links"`     // a member's advertised address -> where to dial it (a proxy)
	Snapshot  SnapshotConfig    `yaml:"snapshot"`
	Timing    TimingConfig      `yaml:"timing"`
}

// Peer is one member: its id and advertised log address.
type Peer = quorum.Peer

// SnapshotConfig says when the log is compacted.
type SnapshotConfig = quorum.SnapshotConfig

// TimingConfig gives raft's timers, and how long promises are kept; empty fields keep the
// defaults.
type TimingConfig struct {
	Heartbeat string `yaml:"heartbeat"` // a Go duration; a follower calls an election after this without news
	Election  string `yaml:"election"`
	Commit    string `yaml:"commit"`
	Lease     string `yaml:"lease"`
	Keep      string `yaml:"keep"` // how long a promise is kept; no caller may ask again after it
}

// LoadConfig reads and proves a member's file. Unknown keys, wrong types and values that
// can't be used are refused naming the file and field.
func LoadConfig(path string) (Config, error) { return yamlfile.Load[Config](path) }

// Valid names the first field that can't be used.
func (c Config) Valid() error {
	if err := c.quorumConfig().Valid(); err != nil {
		return err
	}
	_, err := c.Timing.retention()
	return err
}

// quorumConfig is what the file says of the member apart from promises.
func (c Config) quorumConfig() quorum.Config {
	t := c.Timing
	return quorum.Config{ID: c.ID, Raft: c.Raft, Advertise: c.Advertise, Client: c.Client, Data: c.Data,
		Bootstrap: c.Bootstrap, Links: c.Links, Snapshot: c.Snapshot,
		Timing: quorum.TimingConfig{Heartbeat: t.Heartbeat, Election: t.Election, Commit: t.Commit, Lease: t.Lease}}
}

// DefaultTiming are raft's timers where the file gives none.
var DefaultTiming = quorum.DefaultTiming

// keepDefault is how long promises are kept where the file does not say; keepLeast is the
// shortest they may be: the longest deadline that a platform gives its callers (9 s), a
// caller's way to another agent, and clocks that differ.
const (
	defaultRetention = 10 * time.Minute
	minRetention     = 30 * time.Second
)

func (t TimingConfig) retention() (time.Duration, error) {
	keep := defaultRetention
	if err := quorum.ParseDuration("timing.keep", t.Keep, &keep); err != nil {
		return keep, err
	}
	if keep < minRetention {
		return keep, fmt.Errorf("field timing.keep: %v is under %v, in which a caller may ask again", keep, minRetention)
	}
	return keep, nil
}
