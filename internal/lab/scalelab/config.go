package scalelab

import (
	"context"
	"net"
	"path/filepath"

	"woodrouter/internal/fleet/watcher"
	"woodrouter/rollout"
)

// configClient is an agent's part in the rollout of configuration: the real client, with a loader
// that takes whatever comes.
type configClient struct {
	*watcher.Watcher
}

// configKinds are the kinds of documents that an agent's loaders take.
var configKinds = []string{"routes", "failover", "spread"}

// revisedKind is the document whose revisions the measurement waits for.
const revisedKind = "routes"

func newConfigClient(h *hollowAgent) (*configClient, error) {
	d := h.helperConfig
	c := watcher.Config{Service: h.Service, Zone: h.Zone, Region: h.Region, Data: filepath.Join(d.Dir, "held", h.Name),
		Machines: d.Machines[h.Region], Source: &net.TCPAddr{IP: net.ParseIP(d.Hosts[h.index])}, Life: h.life().UnixMicro()}
	w, err := watcher.Open(c, rollout.Agent{Name: h.Name, Service: h.Service, Zone: h.Zone, Region: h.Region}, configKinds, recordingLoader{h}, h.log)
	if err != nil {
		return nil, err
	}
	return &configClient{w}, nil
}

func (c *configClient) run(ctx context.Context) { c.Run(ctx) }

// traffic is the bytes on the wire.
func (c *configClient) traffic() (sent, received int64) { return c.Traffic() }

// recordingLoader takes whatever comes, and notes when.
type recordingLoader struct{ *hollowAgent }

func (l recordingLoader) Check(string, []byte) error { return nil }

func (l recordingLoader) Apply(kind string, d rollout.Document, ok bool) error {
	if kind == revisedKind && ok {
		l.advance("revision", int64(d.Revision))
	}
	return nil
}

func (l recordingLoader) Calls() (ended, failed uint64) { return 0, 0 }
