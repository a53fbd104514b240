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

// readRoutes is parseRoutes of a file.
func readRoutes(path string, cfg Config) (agent.Router, int, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, 0, err
	}
	return parseRoutes(path, text, cfg)
}

// parseRoutes reads and proves a text of per-route limits against the configuration's
// settings, and returns the router the core takes calls' routes from. A refused text is an
// error naming every refusal; nothing of it is used. name stands for its file in messages.
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

// applyRoutesFile reads the routes file, if one is named, and hands it to the core, unless a
// distributed revision is in force.
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
		d.log.Info("routes taken", "file", d.cfg.Routes, "routes", count)
		return nil
	})
}

// knownPools is each pool's state by the list that a configuration knows: up where any of its
// servers is. nil for an empty list, so that nothing is refused for want of news. Only the
// operators' commands prove a file against it: the list moves while a daemon runs, and a pool
// that drains at its start is no fault of the file.
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
