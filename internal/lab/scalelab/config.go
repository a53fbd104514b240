package scalelab

import (
	"context"
	"net"
	"path/filepath"

	"woodrouter/internal/fleet/watcher"
	"woodrouter/rollout"
)

// configClient is an agent's client of the rollout of configuration: the real watcher with a recordingLoader.
type configClient struct {
	*watcher.Watcher
}

// configKinds are the kinds of documents that an agent's loaders accept.
var configKinds = []string{"routes", "failover", "spread"}

// revisedKind is the kind of the document whose revisions the measurement waits for.
const revisedKind = "routes"

// newConfigClient opens the watcher of an agent.
func newConfigClient(h *hollowAgent) (*configClient, error) {
	config := h.helperConfig
	c := watcher.Config{Service: h.Service, Zone: h.Zone, Region: h.Region, Data: filepath.Join(config.Dir, "held", h.Name),
		Machines: config.Machines[h.Region], Source: &net.TCPAddr{IP: net.ParseIP(config.Hosts[h.index])}, Life: h.life().UnixMicro()}
	w, err := watcher.Open(c, rollout.Agent{Name: h.Name, Service: h.Service, Zone: h.Zone, Region: h.Region}, configKinds, recordingLoader{h}, h.log)
	if err != nil {
		return nil, err
	}
	return &configClient{w}, nil
}

func (c *configClient) run(ctx context.Context) { c.Run(ctx) }

// traffic returns the bytes sent and received on the wire.
func (c *configClient) traffic() (sent, received int64) { return c.Traffic() }

// recordingLoader accepts every document, and records when a revision of revisedKind comes into force.
type recordingLoader struct{ *hollowAgent }

// Check implements watcher.Loader.
func (l recordingLoader) Check(string, []byte) error { return nil }

// Apply implements watcher.Loader.
func (l recordingLoader) Apply(kind string, d rollout.Document, ok bool) error {
	if kind == revisedKind && ok {
		l.advance("revision", int64(d.Revision))
	}
	return nil
}

// Calls implements watcher.Loader: there are no calls.
func (l recordingLoader) Calls() (ended, failed uint64) { return 0, 0 }
