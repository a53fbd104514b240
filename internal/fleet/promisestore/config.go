package promisestore

import (
	"errors"
	"fmt"

	"woodrouter/internal/fleet/replica"
	"woodrouter/internal/yamlfile"
	"woodrouter/shard"
)

// Config is the configuration file of promises; deploy/promises.yaml is an example.
type Config struct {
	// Name is the agent's name in claims and drain orders; if empty, the one in its settings.
	Name string `yaml:"name"`
	// Member configures this agent as a member of a group; nil: it is a client of the groups only.
	Member *replica.Config `yaml:"member"`
	// Calls sets whether calls are claimed and their answers stored, at two commits per call; nil
	// means true. If false, the groups store only orders, versions and the plan of zones, and an
	// agent that can't reach them continues to serve callers.
	Calls *bool `yaml:"calls"`
	// Ring is the groups among which the calls are divided. Previous is the ring that it replaces;
	// it stays in the file until all agents follow the new ring and the longest deadline has passed.
	Ring     shard.Ring  `yaml:"ring"`
	Previous *shard.Ring `yaml:"previous"`
}

// LoadConfig reads and checks a file of promises. An error names the file and every unusable field.
func LoadConfig(path string) (Config, error) {
	c, err := yamlfile.Load[Config](path)
	if err != nil {
		return Config{}, fmt.Errorf("promises: %w", err)
	}
	return c, nil
}

// StoresCalls reports whether calls are claimed and their answers stored.
func (c Config) StoresCalls() bool { return c.Calls == nil || *c.Calls }

// Valid returns an error that names every unusable field.
func (c Config) Valid() error {
	var errs []error
	for _, err := range c.Ring.Check() {
		errs = append(errs, fmt.Errorf("ring: %w", err))
	}
	if c.Previous != nil {
		for _, err := range c.Previous.Check() {
			errs = append(errs, fmt.Errorf("previous: %w", err))
		}
		if c.Previous.Version >= c.Ring.Version {
			errs = append(errs, fmt.Errorf("field previous.version: %d is not before ring.version %d",
				c.Previous.Version, c.Ring.Version))
		}
	}
	if c.Member != nil {
		if err := c.Member.Valid(); err != nil {
			errs = append(errs, fmt.Errorf("member: %w", err))
		}
	}
	return errors.Join(errs...)
}
