package rollout

import "container/list"

// ReportTable is the soft state of a control machine: what each agent last said, by whichever machine
// it came. It is lost with the machine and comes again within one patience of the agents. Agents
// are told apart by name alone. It is not safe for use by several goroutines at once.
type ReportTable struct {
	agents map[string]*list.Element // of heard
	order  *list.List               // the one heard last at the back
	mark   uint64
}

// MaxAgents bounds the agents of a table; of more the one heard longest ago is dropped.
const MaxAgents = 8192

type tableEntry struct {
	Report
	mark uint64
}

// NewReportTable returns a table that has heard nobody.
func NewReportTable() *ReportTable {
	return &ReportTable{agents: map[string]*list.Element{}, order: list.New()}
}

// Update takes a report, unless one as new or newer of the agent is there (Report.After), and tells
// whether it took it. It sets the report's AtUs: ages are by this machine's clock alone, so a
// peer must only pass on what it heard itself or got as news, not an old table (Forget first).
func (t *ReportTable) Update(r Report, nowUs int64) (changed bool) {
	at := t.agents[r.Agent.Name]
	if at != nil && !r.After(at.Value.(*tableEntry).Report) {
		return false
	}
	t.mark++
	r.AtUs = nowUs
	h := &tableEntry{r, t.mark}
	if at == nil {
		if t.order.Len() >= MaxAgents {
			t.remove(t.order.Front())
		}
		t.agents[r.Agent.Name] = t.order.PushBack(h)
		return true
	}
	at.Value = h
	t.order.MoveToBack(at)
	return true
}

// Reports returns the last report of each agent, the one heard longest ago first. The cost grows
// with the agents.
func (t *ReportTable) Reports() []Report {
	out := make([]Report, 0, t.order.Len())
	for e := t.order.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(*tableEntry).Report)
	}
	return out
}

// ChangedSince returns the last reports of the agents that were heard after a mark, the latest first,
// and the mark to ask with next; 0: all. The cost grows with what it returns.
func (t *ReportTable) ChangedSince(after uint64) (reports []Report, mark uint64) {
	for e := t.order.Back(); e != nil; e = e.Prev() {
		h := e.Value.(*tableEntry)
		if h.mark <= after {
			break
		}
		reports = append(reports, h.Report)
	}
	return reports, t.mark
}

func (t *ReportTable) remove(e *list.Element) {
	t.order.Remove(e)
	delete(t.agents, e.Value.(*tableEntry).Agent.Name)
}

// Expire drops the agents that were last heard before a time.
func (t *ReportTable) Expire(beforeUs int64) {
	for e := t.order.Front(); e != nil; {
		next := e.Next()
		if h := e.Value.(*tableEntry); h.AtUs < beforeUs {
			t.remove(e)
		}
		e = next
	}
}
