package control

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"woodrouter/internal/console"
	"woodrouter/internal/fleet/quorum"
	"woodrouter/rollout"
)

// Operators' orders at a control machine's console. Any machine takes them: what is asked is
// answered from what it knows, what is changed goes to the leader.

// orderTimeout bounds an order that changes something.
const orderTimeout = 4 * time.Second

// openConsole serves operators, where the file names an address.
func (n *Node) openConsole() (close func(), err error) {
	at := n.cfg.Rollout.Console
	if at == "" {
		return func() {}, nil
	}
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return nil, fmt.Errorf("field rollout.console: %w", err)
	}
	c := &console.Console{Log: n.log, Commands: n.consoleOrders()}
	go c.Serve(ln)
	n.log.Info("console open", "listen", ln.Addr().String())
	return func() { ln.Close(); c.Close() }, nil
}

func (n *Node) consoleOrders() map[string]console.Command {
	change := func(words []string, e rollout.Entry) string {
		base := words[len(words)-2]
		var err error
		if e.Name, err = rollout.ParseName(words[0]); err != nil {
			return failure(err)
		}
		if e.Base, err = strconv.ParseUint(base, 10, 64); err != nil {
			return console.Failure + fmt.Sprintf(" BASE %.40q is no number", base)
		}
		e.Op, e.Author = rollout.OpPut, words[len(words)-1]
		return n.putChange(e)
	}
	return map[string]console.Command{
		"CONFIG":      {Usage: "CONFIG", Run: func([]string, []byte) string { return n.describeAll() }},
		"CONFIG LOOK": {Usage: "CONFIG LOOK NAME", MinWords: 1, MaxWords: 1, Run: func(w []string, _ []byte) string { return n.describeDocument(w[0]) }},
		"CONFIG PUT": {Usage: "CONFIG PUT NAME BASE AUTHOR, the text, a line EOT; BASE 0: a new document", MinWords: 3, MaxWords: 3, TakesBody: true,
			Run: func(w []string, text []byte) string { return change(w, rollout.Entry{Text: text}) }},
		"CONFIG REMOVE": {Usage: "CONFIG REMOVE NAME BASE AUTHOR", MinWords: 3, MaxWords: 3,
			Run: func(w []string, _ []byte) string { return change(w, rollout.Entry{Remove: true}) }},
		"CONFIG BACK": {Usage: "CONFIG BACK NAME REVISION BASE AUTHOR", MinWords: 4, MaxWords: 4,
			Run: func(w []string, _ []byte) string {
				from, err := strconv.ParseUint(w[1], 10, 64)
				if err != nil || from == 0 {
					return console.Failure + fmt.Sprintf(" REVISION %.40q is no number of one", w[1])
				}
				return change(w, rollout.Entry{Restore: from})
			}},
		"CONFIG JOIN": {Usage: "CONFIG JOIN ID RAFT-ADDRESS [novote]", MinWords: 2, MaxWords: 3,
			Run: func(w []string, _ []byte) string {
				if len(w) == 3 && w[2] != "novote" {
					return console.Failure + fmt.Sprintf(" %.40q is not novote", w[2])
				}
				if err := quorum.CheckAddress(w[1]); err != nil {
					return failure(err)
				}
				return n.changeMember(MemberArgs{ID: w[0], Raft: w[1], Voter: len(w) == 2})
			}},
		"CONFIG LEAVE": {Usage: "CONFIG LEAVE ID", MinWords: 1, MaxWords: 1,
			Run: func(w []string, _ []byte) string { return n.changeMember(MemberArgs{ID: w[0]}) }},
	}
}

// changeMember has the leader change the group: given again it does no harm.
func (n *Node) changeMember(args MemberArgs) string {
	client := NewClient(n.cfg.Rollout.Peers)
	defer client.Close()
	ctx, cancel := context.WithTimeout(n.ctx, orderTimeout)
	defer cancel()
	if err := quorum.Retry(ctx, func() error { return client.ChangeMember(ctx, args) }); err != nil {
		return failure(err)
	}
	return console.Success + " done"
}

func failure(err error) string { return console.Failure + " " + err.Error() }

// putChange has the leader take a change. Where no leader is known it waits for one; a change
// that may stand is not made again.
func (n *Node) putChange(e rollout.Entry) string {
	client := NewClient(n.cfg.Rollout.Peers)
	defer client.Close()
	ctx, cancel := context.WithTimeout(n.ctx, orderTimeout)
	defer cancel()
	for {
		number, err := client.Put(ctx, e)
		var later *quorum.RetryAfterError
		switch {
		case err == nil:
			return fmt.Sprintf("%s %v is at %d", console.Success, e.Name, number)
		case errors.Is(err, quorum.ErrUnknownOutcome):
			return fmt.Sprintf("%s %v; look (CONFIG LOOK %v) before it is ordered again", console.Failure, err, e.Name)
		case !errors.As(err, &later):
			return failure(err)
		}
		select {
		case <-time.After(max(later.After/4, 20*time.Millisecond)):
		case <-ctx.Done():
			return fmt.Sprintf("%s not taken: %v", console.Failure, err)
		}
	}
}

// describeAll words all documents, and the services whose load this machine is steward of, a line each.
func (n *Node) describeAll() string {
	o, err := n.overview("")
	if err != nil {
		return failure(err)
	}
	var b strings.Builder
	n.writeHead(&b, o)
	for _, v := range o.Names {
		fmt.Fprintf(&b, "%v %s\n", v.Latest.Name, describeRevision(v))
	}
	return b.String() + n.stewards.Status() + console.End
}

func (n *Node) writeHead(b *strings.Builder, o OverviewReply) {
	fmt.Fprintf(b, "%s machine %s (%s, leader %s) at %d", console.Success, o.Machine, strings.ToLower(o.State), cmp.Or(o.Leader, "not known"), o.Applied)
	if o.Lagging {
		fmt.Fprint(b, ", LAGGING: what follows may be old")
	}
	fmt.Fprintf(b, "\nmachines: %s\n", strings.Join(o.Members, ", "))
}

func describeRevision(v NameView) string {
	text := fmt.Sprintf("revision %d, stage %s", v.Latest.Revision, v.Latest.Stage)
	if v.Latest.Removed {
		text += ", removed"
	}
	c := v.Coverage
	if c.Revision != v.Latest.Revision {
		text += fmt.Sprintf("; revision %d", c.Revision)
	}
	text += fmt.Sprintf(" in force %d of %d", c.InForce, c.Agents)
	if len(c.Refused) > 0 {
		text += fmt.Sprintf(", REFUSED by %d", len(c.Refused))
	}
	return text
}

// maxListedAgents bounds the agents that an answer names in one list.
const maxListedAgents = 50

// describeDocument words one document: where it is in force, its history, its text.
func (n *Node) describeDocument(name string) string {
	o, err := n.overview(name)
	switch {
	case err != nil:
		return failure(err)
	case len(o.Names) == 0:
		return fmt.Sprintf("%s no document %s: BASE 0 makes one", console.Failure, name)
	}
	var b strings.Builder
	n.writeHead(&b, o)
	v := o.Names[0]
	fmt.Fprintf(&b, "%v %s, by %s at %s\n", v.Latest.Name, describeRevision(v), v.Latest.Author, formatTime(v.Latest.AtUs))
	for _, zone := range slices.Sorted(maps.Keys(v.Coverage.Zones)) {
		z := v.Coverage.Zones[zone]
		fmt.Fprintf(&b, "zone %s: in force %d of %d\n", cmp.Or(zone, "(none)"), z.InForce, z.Agents)
	}
	for i, r := range v.Coverage.Refused {
		if i == maxListedAgents {
			fmt.Fprintf(&b, "refused by %d more\n", len(v.Coverage.Refused)-i)
			break
		}
		fmt.Fprintf(&b, "refused by %s: revision %d: %s\n", r.Agent, r.Revision, oneLine(r.Why))
	}
	writeAgents(&b, "behind", v.Coverage.Behind)
	writeAgents(&b, "out of reach", v.Coverage.OutOfReach)
	for _, r := range v.History {
		fmt.Fprintf(&b, "revision %d: %s, base %d, by %s at %s, %d bytes", r.Revision, r.Stage, r.Base, r.Author, formatTime(r.AtUs), len(r.Text))
		if r.Removed {
			fmt.Fprint(&b, ", removed")
		}
		if r.Restores > 0 {
			fmt.Fprintf(&b, ", the text of %d again", r.Restores)
		}
		if r.Why != "" {
			fmt.Fprintf(&b, ", because %s", oneLine(r.Why))
		}
		fmt.Fprintln(&b)
	}
	for _, line := range strings.SplitAfter(string(v.Latest.Text), "\n") {
		if line != "" {
			fmt.Fprintf(&b, "| %s\n", strings.TrimRight(line, "\r\n"))
		}
	}
	return b.String() + console.End
}

func writeAgents(b *strings.Builder, what string, agents []string) {
	if len(agents) == 0 {
		return
	}
	fmt.Fprintf(b, "%s: %d: %s", what, len(agents), strings.Join(agents[:min(len(agents), maxListedAgents)], " "))
	if len(agents) > maxListedAgents {
		fmt.Fprintf(b, " and %d more", len(agents)-maxListedAgents)
	}
	fmt.Fprintln(b)
}

func formatTime(us int64) string { return time.UnixMicro(us).UTC().Format("2006-01-02T15:04:05.000Z") }

// oneLine keeps an agent's words from looking like lines of the answer.
func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }
