package placer

import (
	"errors"
	"fmt"
	"time"

	"woodrouter/failover"
	"woodrouter/internal/fleet/members"
	"woodrouter/internal/yamlfile"
)

// Config is the operators' file for zone failover, such as deploy/failover.yaml.
type Config struct {
	Zone string `yaml:"zone"` // of this agent; "": the zone in the platform's settings
	// Mode is "common" (the control group of the promises decides for all agents) or "local" (each agent
	// decides by its own observations).
	Mode    string          `yaml:"mode"`
	Members *members.Config `yaml:"members"` // for mode common
	// Topology may be absent in mode local. The zones are then those in the list of setup servers, all in one
	// region.
	Topology failover.Topology `yaml:"topology"`
	Settings SettingsConfig    `yaml:"settings"`
	Every    string            `yaml:"every"` // time between two summaries, and between two decisions; "": 1s
	Fresh    string            `yaml:"fresh"` // age above which a summary is ignored; "": 5s
}

// SettingsConfig is failover.Settings in a file. An absent field has its value in failover.Defaults.
type SettingsConfig struct {
	Margin   *float64           `yaml:"margin"`
	LostAt   *float64           `yaml:"lost_at"`
	FullAt   *float64           `yaml:"full_at"`
	Dwell    string             `yaml:"dwell"`
	Ramp     string             `yaml:"ramp"`
	RampFrom *float64           `yaml:"ramp_from"`
	Step     *float64           `yaml:"step"`
	Budget   map[string]float64 `yaml:"budget"`
}

// parsedConfig holds the settings and durations of a file.
type parsedConfig struct {
	settings     failover.Settings
	every, fresh time.Duration
}

// LoadConfig reads and validates a file. An error names the file and each invalid field.
func LoadConfig(path string) (Config, error) {
	c, err := yamlfile.Load[Config](path)
	if err != nil {
		return Config{}, fmt.Errorf("failover: %w", err)
	}
	return c, nil
}

// Distributed returns the agent's own file with the topology, settings, every and fresh of a distributed
// document. It refuses a document with another mode or zone, or with members: these come from the agent's own
// file. name is used in error messages only.
func (c Config) Distributed(name string, text []byte, zone string) (Config, error) {
	d, err := yamlfile.Parse[Config](name, text)
	if err != nil {
		return c, err
	}
	var refused []error
	if d.Mode != "" && d.Mode != c.Mode {
		refused = append(refused, fmt.Errorf("field mode: %q, and this agent runs in mode %q until it is started with another file of its own", d.Mode, c.Mode))
	}
	if d.Zone != "" && d.Zone != zone {
		refused = append(refused, fmt.Errorf("field zone: %q, and this agent is in zone %q until it is started with another file of its own", d.Zone, zone))
	}
	if d.Members != nil {
		refused = append(refused, errors.New("field members: an agent's own, from its own file at its start; leave it out"))
	}
	c.Topology, c.Settings, c.Every, c.Fresh = d.Topology, d.Settings, d.Every, d.Fresh
	if err := errors.Join(append(refused, c.Valid())...); err != nil {
		return c, fmt.Errorf("%s: %w", name, err)
	}
	return c, nil
}

// Valid returns an error that names every invalid field.
func (c Config) Valid() error {
	var refused []error
	switch c.Mode {
	case "common":
		if c.Members == nil {
			refused = append(refused, errors.New("field members: missing, and the mode is common"))
		} else if err := c.Members.Valid(); err != nil {
			refused = append(refused, fmt.Errorf("members: %w", err))
		}
	case "local":
	default:
		refused = append(refused, fmt.Errorf("field mode: %q is none of common, local", c.Mode))
	}
	if c.Mode != "local" || len(c.Topology.Zones) > 0 {
		for _, err := range c.Topology.Check() {
			refused = append(refused, fmt.Errorf("topology: %w", err))
		}
	}
	_, err := c.parse()
	return errors.Join(append(refused, err)...)
}

// parse returns the settings and durations, or an error that names each invalid one.
func (c Config) parse() (parsedConfig, error) {
	parsed := parsedConfig{settings: failover.Defaults, every: time.Second, fresh: 5 * time.Second}
	var refused []error
	parseDuration := func(name, text string, target *time.Duration) {
		if text == "" {
			return
		}
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			refused = append(refused, fmt.Errorf("field %s: %q is no positive duration", name, text))
			return
		}
		*target = d
	}
	parseDuration("every", c.Every, &parsed.every)
	parseDuration("fresh", c.Fresh, &parsed.fresh)
	dwell, ramp := time.Duration(parsed.settings.DwellUs)*time.Microsecond, time.Duration(parsed.settings.RampUs)*time.Microsecond
	parseDuration("settings.dwell", c.Settings.Dwell, &dwell)
	parseDuration("settings.ramp", c.Settings.Ramp, &ramp)
	parsed.settings.DwellUs, parsed.settings.RampUs = dwell.Microseconds(), ramp.Microseconds()
	for _, option := range []struct {
		source *float64
		target *float64
	}{{c.Settings.Margin, &parsed.settings.Margin}, {c.Settings.LostAt, &parsed.settings.LostAt}, {c.Settings.FullAt, &parsed.settings.FullAt},
		{c.Settings.RampFrom, &parsed.settings.RampFrom}, {c.Settings.Step, &parsed.settings.Step}} {
		if option.source != nil {
			*option.target = *option.source
		}
	}
	parsed.settings.Budget = c.Settings.Budget
	if parsed.fresh < 2*parsed.every {
		refused = append(refused, fmt.Errorf("field fresh: %v is under two times every (%v): one lost summary would count as silence", parsed.fresh, parsed.every))
	}
	for _, err := range parsed.settings.Check() {
		refused = append(refused, fmt.Errorf("settings: %w", err))
	}
	return parsed, errors.Join(refused...)
}
