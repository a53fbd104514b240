package daemon

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"woodrouter/agent"
	"woodrouter/internal/routefile"
	"woodrouter/internal/routes"
	"woodrouter/internal/servers/bulletin"
)

// readRoutes reads a file of per-route limits and parses it by parseRoutes.
func readRoutes(path string, cfg Config) (agent.Router, int, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, 0, err
	}
	return parseRoutes(path, text, cfg)
}

// parseRoutes parses a text of per-route limits, checks it against the configuration's settings, and returns
// a router for the core and the number of routes. If any rule is broken, the error names every refusal, and
// no part of the text is used. name is the file's name in messages.
func parseRoutes(name string, text []byte, cfg Config) (agent.Router, int, error) {
	table, err := routefile.Parse(name, text)
	if err != nil {
		return nil, 0, err
	}
	if refused := routes.Check(table, routefile.Rules(cfg.info, nil)); len(refused) > 0 {
		lines := make([]string, len(refused))
		for i, r := range refused {
			lines[i] = r.String()
		}
		return nil, 0, errors.New(strings.Join(lines, "; "))
	}
	index := routes.NewIndex(table)
	return func(c agent.Call) agent.Route {
		_, l, _ := index.Lookup(c.Tenant, c.Class, c.Number)
		return agent.Route{MaxAttempts: l.Attempts, Spacing: l.RetrySpacing, TimeShare: l.DeadlineShare, Pools: l.Servers,
			AttemptTimeout: l.AttemptTimeout}
	}, len(table.Routes), nil
}

// applyRoutesFile reads the routes file, if the configuration names one, and puts it in force unless a
// distributed revision is.
func (d *Daemon) applyRoutesFile() error {
	if d.cfg.Routes == "" {
		return nil
	}
	router, count, err := readRoutes(d.cfg.Routes, d.cfg)
	if err != nil {
		return fmt.Errorf("routes: %w", err)
	}
	return d.applyOwnFile(kindRoutes, d.cfg.Routes, func() { d.ownConfig.routes = router }, func() error {
		d.core.SetRouter(d.zoneRouter(router))
		d.log.Info("routes applied", "file", d.cfg.Routes, "routes", count)
		return nil
	})
}

// knownPools returns each pool's state by a configuration's list of setup servers: up if any of its servers
// is. It is nil for an empty list, so that no file is refused because the list is missing. Only the
// operators' commands check a file against it: the list changes while a daemon runs, and a pool that is
// draining when the daemon starts does not make the file wrong.
func knownPools(known bulletin.Batch) map[int]string {
	byName := map[string]bulletin.Endpoint{}
	for _, item := range known.Items {
		if item.Roster == nil {
			continue
		}
		if item.Roster.Snapshot {
			clear(byName)
		}
		for _, e := range item.Roster.Endpoints {
			byName[e.Name] = e
		}
	}
	if len(byName) == 0 {
		return nil
	}
	pools := map[int]string{}
	for _, e := range byName {
		if e.Group != nil && pools[*e.Group] != "up" {
			pools[*e.Group] = e.Status
		}
	}
	return pools
}
