package scalelab

import (
	"context"
	"net"
	"path/filepath"

	"woodrouter/internal/fleet/watcher"
	"woodrouter/rollout"
)

// configured is an agent's part in the rollout of configuration: the real client, with a loader
// that takes whatever comes.
type configured struct {
	*watcher.Watcher
}

// configKinds are the kinds of documents that an agent's loaders take.
var configKinds = []string{"routes", "failover", "spread"}

// revised is the document whose revisions the measurement waits for.
const revised = "routes"

func configure(h *hollow) (*configured, error) {
	d := h.deal
	c := watcher.Config{Service: h.Service, Zone: h.Zone, Region: h.Region, Data: filepath.Join(d.Dir, "held", h.Name),
		Machines: d.Machines[h.Region], Source: &net.TCPAddr{IP: net.ParseIP(d.Hosts[h.i])}, Life: h.life().UnixMicro()}
	w, err := watcher.Open(c, rollout.Agent{Name: h.Name, Service: h.Service, Zone: h.Zone, Region: h.Region}, configKinds, loads{h}, h.log)
	if err != nil {
		return nil, err
	}
	return &configured{w}, nil
}

func (c *configured) run(ctx context.Context) { c.Run(ctx) }

// traffic is the bytes on the wire.
func (c *configured) traffic() (sent, received int64) { return c.Traffic() }

// loads takes whatever comes, and notes when.
type loads struct{ *hollow }

func (l loads) Check(string, []byte) error { return nil }

func (l loads) Apply(kind string, d rollout.Document, ok bool) error {
	if kind == revised && ok {
		l.rise("revision", int64(d.Revision))
	}
	return nil
}

func (l loads) Calls() (ended, failed uint64) { return 0, 0 }
