package control

import (
	"encoding/json"
	"fmt"
	"time"

	"woodrouter/internal/fleet/quorum"
	"woodrouter/rollout"
)

// Machines tell each other what the agents at each of them say, so that whichever leads, and
// whichever an operator asks, knows of all. Each tells what it has heard itself.
const (
	tellEvery   = 250 * time.Millisecond
	tellAnyway  = 5 * time.Second // with nothing to tell: the connection is not to be idle
	tellTimeout = time.Second
	tellBytes   = 256 << 10 // of reports in one message, beside the first
)

// ReportsArgs are reports that a machine has heard from agents. They go as JSON: gob makes a
// map as large as a message says it is.
type ReportsArgs struct {
	From    string
	Reports []byte // JSON of []rollout.Report
}

// ReportsReply says that they were taken.
type ReportsReply struct{ Taken int }

// Reports takes another machine's reports.
func (s *Service) Reports(args ReportsArgs, reply *ReportsReply) (err error) {
	defer s.n.guard(&err)
	if s.n.cfg.Rollout.Peers[args.From] == "" || args.From == s.n.cfg.ID {
		return fmt.Errorf("control: reports from %.40q, who is not among the machines", args.From)
	}
	var reports []rollout.Report
	if err := json.Unmarshal(args.Reports, &reports); err != nil {
		return fmt.Errorf("control: reports from %s: %w", args.From, err)
	}
	for _, r := range reports {
		if err := proveWatch(&rollout.WatchArgs{Report: r}); err != nil {
			return err
		}
		r.Machine = args.From
		s.n.hear(r)
		reply.Taken++
	}
	return nil
}

// tell keeps one other machine told: what is new since it last took something, or, after any
// fault of the way to it, all.
func (n *Node) tell(id string) {
	client := quorum.NewClient(map[string]string{id: n.cfg.Rollout.Peers[id]})
	client.CallTimeout = tellTimeout
	defer client.Close()
	tick := time.NewTicker(tellEvery)
	defer tick.Stop()
	var mark uint64
	var last time.Time
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-tick.C:
		}
		reports, next := n.news(mark)
		if len(reports) == 0 && time.Since(last) < tellAnyway {
			mark = next
			continue
		}
		mark, last = next, time.Now()
		for _, part := range parts(reports) {
			err := client.Call(n.ctx, id, "Rollout.Reports", ReportsArgs{From: n.cfg.ID, Reports: part}, &ReportsReply{})
			if err != nil {
				mark = 0
				break
			}
		}
	}
}

// news are the reports that this machine has heard itself since a mark, and are fresh: an old
// one told again would make an agent that is gone seem heard.
func (n *Node) news(mark uint64) (out []rollout.Report, next uint64) {
	n.table.Lock()
	defer n.table.Unlock()
	now := time.Now()
	n.table.Expire(now.Add(-forgetAfter).UnixMicro())
	all, next := n.table.ChangedSince(mark)
	oldest := now.Add(-n.settings.Fresh).UnixMicro()
	for _, r := range all {
		if r.Machine == n.cfg.ID && r.AtUs >= oldest {
			out = append(out, r)
		}
	}
	return out, next
}

// parts words reports as messages within the bound; no reports are one empty message.
func parts(reports []rollout.Report) (out [][]byte) {
	part := []byte{'['}
	for _, r := range reports {
		b, _ := json.Marshal(r) // a struct of strings and numbers always marshals
		if len(part) > 1 && len(part)+len(b) > tellBytes {
			out, part = append(out, append(part, ']')), []byte{'['}
		}
		if len(part) > 1 {
			part = append(part, ',')
		}
		part = append(part, b...)
	}
	return append(out, append(part, ']'))
}
