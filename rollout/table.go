package rollout

import "container/list"

// Table is the soft state of a control machine: what each agent last said, by whichever machine
// it came. It is lost with the machine and comes again within one patience of the agents. Agents
// are told apart by name alone. It is not safe for use by several goroutines at once.
type Table struct {
	agents map[string]*list.Element // of heard
	order  *list.List               // the one heard last at the back
	mark   uint64
}

// MaxAgents bounds the agents of a table; of more the one heard longest ago is dropped.
const MaxAgents = 8192

type heard struct {
	Report
	mark uint64
}

// NewTable returns a table that has heard nobody.
func NewTable() *Table { return &Table{agents: map[string]*list.Element{}, order: list.New()} }

// Hear takes a report, unless one as new or newer of the agent is there (Report.After), and tells
// whether it took it. It sets the report's AtUs: ages are by this machine's clock alone, so a
// peer must only pass on what it heard itself or got as news, not an old table (Forget first).
func (t *Table) Hear(r Report, nowUs int64) (changed bool) {
	at := t.agents[r.Agent.Name]
	if at != nil && !r.After(at.Value.(*heard).Report) {
		return false
	}
	t.mark++
	r.AtUs = nowUs
	h := &heard{r, t.mark}
	if at == nil {
		if t.order.Len() >= MaxAgents {
			t.drop(t.order.Front())
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
func (t *Table) Reports() []Report {
	out := make([]Report, 0, t.order.Len())
	for e := t.order.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(*heard).Report)
	}
	return out
}

// Changed returns the last reports of the agents that were heard after a mark, the latest first,
// and the mark to ask with next; 0: all. The cost grows with what it returns.
func (t *Table) Changed(after uint64) (reports []Report, mark uint64) {
	for e := t.order.Back(); e != nil; e = e.Prev() {
		h := e.Value.(*heard)
		if h.mark <= after {
			break
		}
		reports = append(reports, h.Report)
	}
	return reports, t.mark
}

func (t *Table) drop(e *list.Element) {
	t.order.Remove(e)
	delete(t.agents, e.Value.(*heard).Agent.Name)
}

// Forget drops the agents that were last heard before a time.
func (t *Table) Forget(beforeUs int64) {
	for e := t.order.Front(); e != nil; {
		next := e.Next()
		if h := e.Value.(*heard); h.AtUs < beforeUs {
			t.drop(e)
		}
		e = next
	}
}
