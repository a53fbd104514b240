// Package control implements the control machines, which distribute configuration. They are the
// members of a group whose log holds the documents (package rollout, on package quorum). Each
// answers agents' watches from the state it has applied, collects agents' reports, and serves an
// operators' console. Only the leader decides the stages of a rollout. Agents serve their callers
// without any control machine as well; docs/rollout.md compares the alternatives.
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

// Config is a control machine's configuration file; deploy/control.yaml is an example.
type Config struct {
	quorum.Config `yaml:",inline"`
	Rollout       RolloutConfig `yaml:"rollout"`
}

// RolloutConfig is the section that only control machines' files have. Times are Go durations; empty
// fields have the values of rollout.Defaults.
type RolloutConfig struct {
	Console string            `yaml:"console,omitempty"` // host:port of the operators' console; "": no console
	Peers   map[string]string `yaml:"peers"`             // the client addresses of all control machines, by id

	PerService int     `yaml:"per_service,omitempty"` // agents of each service in the first stage
	Dwell      string  `yaml:"dwell,omitempty"`       // the minimum length of the first stage
	Patience   string  `yaml:"patience,omitempty"`    // how long the first stage waits for reports
	Fresh      string  `yaml:"fresh,omitempty"`       // an agent silent for this long is out of reach
	Worse      float64 `yaml:"worse,omitempty"`       // by how much the share of failed calls may rise
	LeastCalls uint64  `yaml:"least_calls,omitempty"` // fewer calls than this are not compared
}

// LoadConfig reads and checks a control machine's file. An error names the file and the field.
func LoadConfig(path string) (Config, error) { return yamlfile.Load[Config](path) }

// IsConfigFile reports whether a file is a control machine's, that is, has a rollout section. It returns
// false for a file that can't be read; loading the file gives the reason.
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

// Valid returns an error that names the first unusable field.
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

// settings returns the settings of the stage controller.
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
