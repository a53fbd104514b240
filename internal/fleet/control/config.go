// Package control is a control machine's part in the distribution of configuration: a member
// of the group whose log holds the documents (package rollout, on package quorum), which
// answers agents' watches from what it has applied, hears what they say of themselves, and has
// operators' orders. Only the leader decides stages. An agent needs no machine to serve its
// callers; docs/rollout.md weighs the ways.
package control

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"woodrouter/internal/fleet/quorum"
	"woodrouter/internal/yamlfile"
	"woodrouter/rollout"
)

// Config is a control machine's file, as deploy/control.yaml.
type Config struct {
	quorum.Config `yaml:",inline"`
	Rollout       RolloutConfig `yaml:"rollout"`
}

// RolloutConfig is the section that makes a member's file a control machine's. What it leaves
// out is as rollout.Defaults.
type RolloutConfig struct {
	Console string            `yaml:"console,omitempty"` // host:port of the operators; "": no console
	Peers   map[string]string `yaml:"peers"`             // the client addresses of all control machines, by id

	PerService int     `yaml:"per_service,omitempty"` // agents of each service at a first stage
	Dwell      string  `yaml:"dwell,omitempty"`       // how long a first stage lasts at least
	Patience   string  `yaml:"patience,omitempty"`    // how long it waits for its agents' words
	Fresh      string  `yaml:"fresh,omitempty"`       // an agent not heard for this long is out of reach
	Worse      float64 `yaml:"worse,omitempty"`       // how much larger the share of failed calls may be
	LeastCalls uint64  `yaml:"least_calls,omitempty"` // calls below which no share is compared
}

// LoadConfig reads and proves a control machine's file. An error names the file and the field.
func LoadConfig(path string) (Config, error) { return yamlfile.Load[Config](path) }

// IsConfigFile tells whether a file has a section of rollout: whether it is a control machine's. A file
// that can't be read is not; whoever loads it finds out why.
func IsConfigFile(path string) bool {
	text, err := os.ReadFile(path)
	if err != nil || len(text) > yamlfile.MaxSize {
		return false
	}
	var top yaml.MapSlice
	if yamlfile.Decode(text, &top) != nil {
		return false
	}
	for _, item := range top {
		if item.Key == "rollout" {
			return true
		}
	}
	return false
}

// Valid names the fields that can't be used.
func (c Config) Valid() error {
	if err := c.Config.Valid(); err != nil {
		return err
	}
	if _, err := c.Rollout.settings(); err != nil {
		return err
	}
	if c.Rollout.Console != "" {
		if err := quorum.CheckAddress(c.Rollout.Console); err != nil {
			return fmt.Errorf("field rollout.console: %w", err)
		}
	}
	if c.Rollout.Peers[c.ID] == "" {
		return fmt.Errorf("field rollout.peers: this machine %q is not among them", c.ID)
	}
	for id, addr := range c.Rollout.Peers {
		if err := quorum.CheckAddress(addr); err != nil {
			return fmt.Errorf("field rollout.peers.%s: %w", id, err)
		}
	}
	for _, p := range c.Bootstrap {
		if c.Rollout.Peers[p.ID] == "" {
			return fmt.Errorf("field rollout.peers: %q of bootstrap is not among them", p.ID)
		}
	}
	return nil
}

// settings are the steward's.
func (r RolloutConfig) settings() (rollout.Settings, error) {
	s := rollout.Defaults
	for _, f := range []struct {
		name, text string
		to         *time.Duration
	}{{"dwell", r.Dwell, &s.Dwell}, {"patience", r.Patience, &s.Patience}, {"fresh", r.Fresh, &s.Fresh}} {
		if err := quorum.ParseDuration("rollout."+f.name, f.text, f.to); err != nil {
			return s, err
		}
	}
	if r.PerService != 0 {
		s.PerService = r.PerService
	}
	if r.Worse != 0 {
		s.Worse = r.Worse
	}
	if r.LeastCalls != 0 {
		s.LeastCalls = r.LeastCalls
	}
	if errs := s.Check(); len(errs) > 0 {
		return s, fmt.Errorf("rollout: %w", errors.Join(errs...))
	}
	return s, nil
}
