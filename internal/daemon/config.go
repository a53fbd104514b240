// Package daemon builds the call agent from its parts and runs it. It also has the program's commands.
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

// Config is the platform's configuration of a call agent, with the paths of its further files.
type Config struct {
	Name     string          `json:"name"`
	Listen   string          `json:"listen"`
	Seed     string          `json:"seed"` // of the random choices, in hex
	Limits   Limits          `json:"limits"`
	Bulletin string          `json:"bulletin"`
	Known    bulletin.Batch  `json:"known"` // the list of setup servers to start with
	Settings json.RawMessage `json:"settings"`
	Console  string          `json:"console"` // address of the operators' console; "": none

	State    string `json:"-"` // path of the call API's state file; "": the API is off
	Callers  string `json:"-"` // file descriptor of the callers' listening socket; "": listens on Listen
	Promises string `json:"-"` // path of the promises file (YAML); "": promises are not replicated
	Failover string `json:"-"` // path of the failover file (YAML); "": no zone failover
	Spread   string `json:"-"` // path of the spread file (YAML); "": load is spread without other agents
	Rollout  string `json:"-"` // path of the rollout file (YAML), which names control machines; "": only own files
	Routes   string `json:"-"` // path of the per-route limits (YAML); "": the settings' limits apply to all calls

	path string // the file this was read from; "": none
	seed uint64
	info settings.Info

	source net.Addr // local address of connections to setup servers and the bulletin; nil: the system's choice
}

// parseSource parses the local address of outgoing connections, for machines with several addresses.
func parseSource(text string) (net.Addr, error) {
	if text == "" {
		return nil, nil
	}
	ip := net.ParseIP(text)
	if ip == nil {
		return nil, fmt.Errorf("WOODROUTER_SOURCE: %.40q is not an IP address", text)
	}
	return &net.TCPAddr{IP: ip}, nil
}

// Limits are the resources of the machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// ReadConfig reads the configuration file. An error names the invalid field.
func ReadConfig(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := ParseConfig(text)
	c.path = path
	return c, err
}

// ParseConfig parses the text of a configuration file. An error names the invalid field.
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
		return bad("limits", fmt.Errorf("%+v are too small to run in", c.Limits))
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
