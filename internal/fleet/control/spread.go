package control

import (
	"fmt"
	"time"

	"woodrouter/internal/fleet/stewards"
)

// Spread is a control machine's net/rpc service of that name: the stewards that coordinate how load is
// spread, one for each service. It shares the connections of Service and their limits. It does not use the
// replicated log, so a machine without a leader serves it as well.
type Spread struct{ node *Node }

// Tell passes an agent's summary to the steward of its service, and answers with the steward's view.
func (s *Spread) Tell(args *stewards.TellArgs, reply *stewards.TellReply) (err error) {
	defer s.node.recoverPanic(&err)
	*reply, err = s.node.stewards.HandleSummary(*args)
	return err
}

// summarySender is the agent and the service for which a connection sends summaries.
type summarySender struct{ service, name string }

// bindSender binds a connection to the agent and service of its first summary, and refuses summaries of
// others: no connection may use up more than one agent's place at the stewards. Only the connection's
// reader calls it.
func (c *codec) bindSender(args *stewards.TellArgs) error {
	sender := summarySender{args.Service, args.Summary.From.Name}
	if c.sender == (summarySender{}) {
		c.sender = sender
	}
	if c.sender != sender {
		return fmt.Errorf("%w: a summary of %.40q in %.40q on the connection of %.40q in %.40q", errBadRequest,
			sender.name, sender.service, c.sender.name, c.sender.service)
	}
	return nil
}

// sweepInterval is how often stewards that no agent reports to any more are removed.
const sweepInterval = 2 * time.Second

// sweepStewards removes idle stewards until the machine stops.
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
