package control

import (
	"fmt"
	"time"

	"woodrouter/internal/fleet/stewards"
)

// Spread is a control machine's net/rpc service of that name: the stewards of spreading load, by
// service. It is served on the connections, and within the bounds, of Service. It asks nothing of
// the group: a machine that hears no leader serves it all the same.
type Spread struct{ node *Node }

// Tell has the steward of a service hear an agent's summary, and answers with its view.
func (s *Spread) Tell(args *stewards.TellArgs, reply *stewards.TellReply) (err error) {
	defer s.node.recoverPanic(&err)
	*reply, err = s.node.stewards.HandleSummary(*args)
	return err
}

// summarySender is whom a connection speaks for: one agent of one service, as its first summary names
// them, so that no connection takes more than one agent's place.
type summarySender struct{ service, name string }

// bindSender holds a connection to whom its first summary named. It is called by the connection's reader.
func (c *codec) bindSender(args *stewards.TellArgs) error {
	who := summarySender{args.Service, args.Summary.From.Name}
	if c.sender == (summarySender{}) {
		c.sender = who
	}
	if c.sender != who {
		return fmt.Errorf("%w: a summary of %.40q in %.40q on the connection of %.40q in %.40q", errBadRequest, who.name, who.service, c.sender.name, c.sender.service)
	}
	return nil
}

// sweepInterval is how often stewards that nobody tells any more are looked for.
const sweepInterval = 2 * time.Second

// sweepStewards has idle stewards forgotten until the machine ends.
func (n *Node) sweepStewards() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-tick.C:
			n.stewards.RemoveIdle()
		}
	}
}
