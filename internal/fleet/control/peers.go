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
	sendInterval      = 250 * time.Millisecond
	keepAliveInterval = 5 * time.Second // with nothing to tell: the connection is not to be idle
	sendTimeout       = time.Second
	maxBatchBytes     = 256 << 10 // of reports in one message, beside the first
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
	defer s.node.recoverPanic(&err)
	if s.node.cfg.Rollout.Peers[args.From] == "" || args.From == s.node.cfg.ID {
		return fmt.Errorf("control: reports from %.40q, who is not among the machines", args.From)
	}
	var reports []rollout.Report
	if err := json.Unmarshal(args.Reports, &reports); err != nil {
		return fmt.Errorf("control: reports from %s: %w", args.From, err)
	}
	for _, r := range reports {
		if err := checkWatch(&rollout.WatchArgs{Report: r}); err != nil {
			return err
		}
		r.Machine = args.From
		s.node.recordReport(r)
		reply.Taken++
	}
	return nil
}

// sendReports keeps one other machine told: what is new since it last took something, or, after any
// fault of the way to it, all.
func (n *Node) sendReports(id string) {
	client := quorum.NewClient(map[string]string{id: n.cfg.Rollout.Peers[id]})
	client.CallTimeout = sendTimeout
	defer client.Close()
	tick := time.NewTicker(sendInterval)
	defer tick.Stop()
	var mark uint64
	var last time.Time
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-tick.C:
		}
		reports, next := n.newReports(mark)
		if len(reports) == 0 && time.Since(last) < keepAliveInterval {
			mark = next
			continue
		}
		mark, last = next, time.Now()
		for _, part := range encodeBatches(reports) {
			err := client.Call(n.ctx, id, "Rollout.Reports", ReportsArgs{From: n.cfg.ID, Reports: part}, &ReportsReply{})
			if err != nil {
				mark = 0
				break
			}
		}
	}
}

// newReports are the reports that this machine has heard itself since a mark, and are fresh: an old
// one told again would make an agent that is gone seem heard.
func (n *Node) newReports(mark uint64) (out []rollout.Report, next uint64) {
	n.reportTable.Lock()
	defer n.reportTable.Unlock()
	now := time.Now()
	n.reportTable.Expire(now.Add(-reportRetention).UnixMicro())
	all, next := n.reportTable.ChangedSince(mark)
	oldest := now.Add(-n.settings.Fresh).UnixMicro()
	for _, r := range all {
		if r.Machine == n.cfg.ID && r.AtUs >= oldest {
			out = append(out, r)
		}
	}
	return out, next
}

// encodeBatches words reports as messages within the bound; no reports are one empty message.
func encodeBatches(reports []rollout.Report) (out [][]byte) {
	part := []byte{'['}
	for _, r := range reports {
		b, _ := json.Marshal(r) // a struct of strings and numbers always marshals
		if len(part) > 1 && len(part)+len(b) > maxBatchBytes {
			out, part = append(out, append(part, ']')), []byte{'['}
		}
		if len(part) > 1 {
			part = append(part, ',')
		}
		part = append(part, b...)
	}
	return append(out, append(part, ']'))
}
