package placer

import (
	"errors"
	"fmt"
	"time"

	"woodrouter/failover"
	"woodrouter/internal/fleet/members"
	"woodrouter/internal/yamlfile"
)

// Config is an operators' file of zone failover, as deploy/failover.yaml.
type Config struct {
	Zone string `yaml:"zone"` // this agent's; "": the platform's settings name it
	// Mode is "common" (one decision for all agents, by the control group of the promises) or
	// "local" (each agent by what it sees alone).
	Mode    string          `yaml:"mode"`
	Members *members.Config `yaml:"members"` // in common mode
	// Topology may be left out in local mode: the zones are then those of the list of setup
	// servers, all of one region.
	Topology failover.Topology `yaml:"topology"`
	Settings SettingsConfig    `yaml:"settings"`
	Every    string            `yaml:"every"` // a summary is told and a decision looked for so often; "": 1s
	Fresh    string            `yaml:"fresh"` // older summaries do not count; "": 5s
}

// SettingsConfig are failover.Settings in a file; absent fields keep failover.Defaults.
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

// parsedConfig are a file's settings and times, ready for use.
type parsedConfig struct {
	settings     failover.Settings
	every, fresh time.Duration
}

// LoadConfig reads and proves a file of zone failover. An error names the file and each field.
func LoadConfig(path string) (Config, error) {
	c, err := yamlfile.Load[Config](path)
	if err != nil {
		return Config{}, fmt.Errorf("failover: %w", err)
	}
	return c, nil
}

// Distributed is an agent's own file with what a distributed document has in its place: topology,
// settings, every and fresh. Mode, zone and members are an agent's own: a document that names
// others is refused. name is only for messages.
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

// Valid names every field that can't be used.
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

// parse reads the times and settings.
func (c Config) parse() (parsedConfig, error) {
	f := parsedConfig{settings: failover.Defaults, every: time.Second, fresh: 5 * time.Second}
	var refused []error
	span := func(name, text string, to *time.Duration) {
		if text == "" {
			return
		}
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			refused = append(refused, fmt.Errorf("field %s: %q is no positive duration", name, text))
			return
		}
		*to = d
	}
	span("every", c.Every, &f.every)
	span("fresh", c.Fresh, &f.fresh)
	dwell, ramp := time.Duration(f.settings.DwellUs)*time.Microsecond, time.Duration(f.settings.RampUs)*time.Microsecond
	span("settings.dwell", c.Settings.Dwell, &dwell)
	span("settings.ramp", c.Settings.Ramp, &ramp)
	f.settings.DwellUs, f.settings.RampUs = dwell.Microseconds(), ramp.Microseconds()
	for _, o := range []struct {
		from *float64
		to   *float64
	}{{c.Settings.Margin, &f.settings.Margin}, {c.Settings.LostAt, &f.settings.LostAt}, {c.Settings.FullAt, &f.settings.FullAt},
		{c.Settings.RampFrom, &f.settings.RampFrom}, {c.Settings.Step, &f.settings.Step}} {
		if o.from != nil {
			*o.to = *o.from
		}
	}
	f.settings.Budget = c.Settings.Budget
	if f.fresh < 2*f.every {
		refused = append(refused, fmt.Errorf("field fresh: %v is under two times every (%v): one lost summary would count as silence", f.fresh, f.every))
	}
	for _, err := range f.settings.Check() {
		refused = append(refused, fmt.Errorf("settings: %w", err))
	}
	return f, errors.Join(refused...)
}
