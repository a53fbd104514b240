package control

import (
	"encoding/json"
	"fmt"
	"time"

	"woodrouter/internal/fleet/quorum"
	"woodrouter/rollout"
)

// The machines send each other the reports of their agents, so that the leader, and any machine whose
// console is asked, knows all agents. Each machine sends only the reports that it received from agents.
const (
	sendInterval      = 250 * time.Millisecond
	keepAliveInterval = 5 * time.Second // an empty message after this time keeps the connection from idling out
	sendTimeout       = time.Second
	maxBatchBytes     = 256 << 10 // of the reports in one message; a single larger report is sent alone
)

// ReportsArgs are the reports that a machine received from agents. They are sent as JSON, because gob
// would allocate the reports' maps at the size that the message claims.
type ReportsArgs struct {
	From    string // the sending machine's id
	Reports []byte // JSON of []rollout.Report
}

// ReportsReply has the number of reports stored.
type ReportsReply struct{ Taken int }

// Reports stores the reports that another machine sends.
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

// sendReports sends one other machine the reports that are new since the last successful message, or all
// of them after an error.
func (n *Node) sendReports(id string) {
	client := quorum.NewClient(map[string]string{id: n.cfg.Rollout.Peers[id]})
	client.CallTimeout = sendTimeout
	defer client.Close()
	tick := time.NewTicker(sendInterval)
	defer tick.Stop()
	var mark uint64        // the reports up to this mark have been sent
	var lastSent time.Time // when the last message was sent
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-tick.C:
		}
		reports, next := n.newReports(mark)
		if len(reports) == 0 && time.Since(lastSent) < keepAliveInterval {
			mark = next
			continue
		}
		mark, lastSent = next, time.Now()
		for _, batch := range encodeBatches(reports) {
			err := client.Call(n.ctx, id, "Rollout.Reports", ReportsArgs{From: n.cfg.ID, Reports: batch}, &ReportsReply{})
			if err != nil {
				mark = 0
				break
			}
		}
	}
}

// newReports returns the fresh reports that this machine received from agents since a mark, and the next
// mark. Old ones are left out: sent again, they would make an agent that is gone look alive.
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

// encodeBatches encodes reports as JSON arrays of at most maxBatchBytes. Without reports it returns one
// empty array.
func encodeBatches(reports []rollout.Report) (out [][]byte) {
	batch := []byte{'['}
	for _, r := range reports {
		b, _ := json.Marshal(r) // a struct of strings and numbers always marshals
		if len(batch) > 1 && len(batch)+len(b) > maxBatchBytes {
			out, batch = append(out, append(batch, ']')), []byte{'['}
		}
		if len(batch) > 1 {
			batch = append(batch, ',')
		}
		batch = append(batch, b...)
	}
	return append(out, append(batch, ']'))
}
