// Package daemon puts the call agent together from its parts and runs it.
package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"woodrouter/internal/servers/bulletin"
	"woodrouter/internal/settings"
)

// Config is what the platform tells a call agent.
type Config struct {
	Name     string          `json:"name"`
	Listen   string          `json:"listen"`
	Seed     string          `json:"seed"`
	Limits   Limits          `json:"limits"`
	Bulletin string          `json:"bulletin"`
	Known    bulletin.Batch  `json:"known"`
	Settings json.RawMessage `json:"settings"`
	Console  string          `json:"console"` // where operators connect; "": nowhere

	State    string `json:"-"` // path of the second front's state; "": that front is off
	Callers  string `json:"-"` // descriptor of the callers' listening socket; "": Listen is bound
	Promises string `json:"-"` // path of the file of promises (YAML); "": kept by this process alone
	Failover string `json:"-"` // path of the file of zone failover (YAML); "": zones are not followed
	Spread   string `json:"-"` // path of the file of spreading load (YAML); "": alone
	Rollout  string `json:"-"` // path of the file of control machines (YAML); "": the agent's own files alone
	Routes   string `json:"-"` // path of the per-route limits (YAML); "": the settings' limits for all

	path string // of the file this was read from; "": none
	seed uint64
	info settings.Info

	source net.Addr // setup servers and the bulletin are called from here; nil: the system's choice
}

// parseSource reads the address that the agent calls from, on a machine with several.
func parseSource(text string) (net.Addr, error) {
	if text == "" {
		return nil, nil
	}
	ip := net.ParseIP(text)
	if ip == nil {
		return nil, fmt.Errorf("WOODROUTER_SOURCE: %.40q is no IP address", text)
	}
	return &net.TCPAddr{IP: ip}, nil
}

// Limits are the bounds of the machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// ReadConfig reads the configuration file. An error names the field at fault.
func ReadConfig(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := ParseConfig(text)
	c.path = path
	return c, err
}

// ParseConfig reads the configuration's text.
func ParseConfig(text []byte) (Config, error) {
	c := Config{Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}}
	if err := json.Unmarshal(text, &c); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return c, fmt.Errorf("configuration: field %s: %w", wrong.Field, err)
		}
		return c, fmt.Errorf("configuration: %w", err)
	}
	var err error
	bad := func(field string, err error) (Config, error) {
		return c, fmt.Errorf("configuration: field %s: %w", field, err)
	}
	if _, _, err = net.SplitHostPort(c.Listen); err != nil {
		return bad("listen", err)
	}
	if _, _, err = net.SplitHostPort(c.Bulletin); err != nil {
		return bad("bulletin", err)
	}
	if c.Console != "" {
		if _, _, err = net.SplitHostPort(c.Console); err != nil {
			return bad("console", err)
		}
	}
	if c.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return bad("seed", err)
	}
	if c.Limits.Cores <= 0 || c.Limits.MemoryMB < 16 || c.Limits.Sockets < 32 {
		return bad("limits", fmt.Errorf("%+v is too little to run in", c.Limits))
	}
	if len(c.Settings) == 0 {
		return bad("settings", errors.New("missing"))
	}
	if err = settings.Check(c.Settings); err == nil {
		c.info, err = settings.Parse(c.Settings)
	}
	if err != nil {
		return bad("settings", err)
	}
	return c, nil
}
