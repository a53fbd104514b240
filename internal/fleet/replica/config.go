// Package replica stores a call agent's promises (package promise) in a replicated log (package
// quorum), so that a quorum holds each promise before its caller gets the answer.
// docs/replication.md compares the alternatives.
package replica

import (
	"fmt"
	"time"

	"woodrouter/internal/fleet/quorum"
	"woodrouter/internal/yamlfile"
)

// Config is the configuration file of one member; deploy/replica.yaml is an example.
type Config struct {
	ID        string            `yaml:"id"`        // this member's name in the group
	Raft      string            `yaml:"raft"`      // host:port on which raft listens
	Advertise string            `yaml:"advertise"` // host:port other members dial; "": Raft
	Client    string            `yaml:"client"`    // host:port on which clients are served (net/rpc)
	Data      string            `yaml:"data"`      // the directory of log, stable store and snapshots
	Bootstrap []Peer            `yaml:"bootstrap"` // first members of a new group; empty: join later
	Links     map[string]string `yaml:"links"`     // address to dial (a proxy) by advertised address
	Snapshot  SnapshotConfig    `yaml:"snapshot"`
	Timing    TimingConfig      `yaml:"timing"`
}

// Peer is one member: its id and advertised raft address.
type Peer = quorum.Peer

// SnapshotConfig sets when the log is compacted.
type SnapshotConfig = quorum.SnapshotConfig

// TimingConfig sets raft's timers (as in quorum.TimingConfig) and how long promises are kept, all as
// Go durations; empty fields have the defaults.
type TimingConfig struct {
	Heartbeat string `yaml:"heartbeat"`
	Election  string `yaml:"election"`
	Commit    string `yaml:"commit"`
	Lease     string `yaml:"lease"`
	Keep      string `yaml:"keep"` // how long a promise is kept; no caller may ask again after it
}

// LoadConfig reads and checks a member's file. Unknown keys, wrong types and unusable values are
// errors that name the file and field.
func LoadConfig(path string) (Config, error) { return yamlfile.Load[Config](path) }

// Valid returns an error that names the first unusable field.
func (c Config) Valid() error {
	if err := c.quorumConfig().Valid(); err != nil {
		return err
	}
	_, err := c.Timing.retention()
	return err
}

// quorumConfig returns the part of the configuration that does not concern promises.
func (c Config) quorumConfig() quorum.Config {
	t := c.Timing
	return quorum.Config{ID: c.ID, Raft: c.Raft, Advertise: c.Advertise, Client: c.Client, Data: c.Data,
		Bootstrap: c.Bootstrap, Links: c.Links, Snapshot: c.Snapshot,
		Timing: quorum.TimingConfig{Heartbeat: t.Heartbeat, Election: t.Election, Commit: t.Commit, Lease: t.Lease}}
}

// DefaultTiming holds raft's timers for files that set none.
var DefaultTiming = quorum.DefaultTiming

const (
	// defaultRetention is how long promises are kept if the file does not say.
	defaultRetention = 10 * time.Minute
	// minRetention covers the longest deadline that a platform gives its callers (9 s), the time a
	// caller needs to reach another agent, and differences between clocks.
	minRetention = 30 * time.Second
)

// retention returns how long promises are kept.
func (t TimingConfig) retention() (time.Duration, error) {
	retention := defaultRetention
	if err := quorum.ParseDuration("timing.keep", t.Keep, &retention); err != nil {
		return retention, err
	}
	if retention < minRetention {
		return retention, fmt.Errorf("field timing.keep: %v is less than %v, within which a caller may ask again",
			retention, minRetention)
	}
	return retention, nil
}
