package promisestore

import (
	"errors"
	"fmt"

	"woodrouter/internal/fleet/replica"
	"woodrouter/internal/yamlfile"
	"woodrouter/shard"
)

// Config is an operators' file of promises, as deploy/promises.yaml.
type Config struct {
	// Name is the agent's in claims and drain orders; "": the configuration's.
	Name string `yaml:"name"`
	// Member is the part this agent takes in a group; left out, it only calls the groups.
	Member *replica.Config `yaml:"member"`
	// Calls tells whether calls are claimed and their answers kept, at two commits a call; not
	// given: they are. Without it the groups keep orders, versions and the plan of zones alone,
	// and an agent cut off from them serves callers on.
	Calls *bool `yaml:"calls"`
	// Ring is the groups that share the calls; Previous is the ring it replaces, until all
	// agents follow the new one and the longest deadline has passed.
	Ring     shard.Ring  `yaml:"ring"`
	Previous *shard.Ring `yaml:"previous"`
}

// LoadConfig reads and proves a file of promises. An error names the file and each field.
func LoadConfig(path string) (Config, error) {
	c, err := yamlfile.Load[Config](path)
	if err != nil {
		return Config{}, fmt.Errorf("promises: %w", err)
	}
	return c, nil
}

// StoresCalls tells whether calls are claimed and kept.
func (c Config) StoresCalls() bool { return c.Calls == nil || *c.Calls }

// Valid names every field that can't be used.
func (c Config) Valid() error {
	var refused []error
	for _, err := range c.Ring.Check() {
		refused = append(refused, fmt.Errorf("ring: %w", err))
	}
	if c.Previous != nil {
		for _, err := range c.Previous.Check() {
			refused = append(refused, fmt.Errorf("previous: %w", err))
		}
		if c.Previous.Version >= c.Ring.Version {
			refused = append(refused, fmt.Errorf("field previous.version: %d is not before ring.version %d", c.Previous.Version, c.Ring.Version))
		}
	}
	if c.Member != nil {
		if err := c.Member.Valid(); err != nil {
			refused = append(refused, fmt.Errorf("member: %w", err))
		}
	}
	return errors.Join(refused...)
}
