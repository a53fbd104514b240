package rollout

import "container/list"

// ReportTable has the last report of each agent, whether received from the agent or from another control
// machine. It is not replicated: after a restart of the machine it fills again within one watch period of the
// agents. Agents are identified by name alone. It is not safe for concurrent use.
type ReportTable struct {
	agents map[string]*list.Element // values are *tableEntry
	order  *list.List               // most recently received report at the back
	mark   uint64                   // number of updates so far
}

// MaxAgents limits the agents of a table. When it is exceeded, the agent with the oldest report is removed.
const MaxAgents = 8192

// tableEntry is a report with the mark of its update.
type tableEntry struct {
	Report
	mark uint64
}

// NewReportTable returns an empty table.
func NewReportTable() *ReportTable {
	return &ReportTable{agents: map[string]*list.Element{}, order: list.New()}
}

// Update stores a report unless the table has one of the agent that is as new or newer (Report.After), and
// returns whether it did. It sets the report's AtUs to nowUs, since ages are measured on this machine's clock
// alone. A peer must therefore only forward reports that it has just received; otherwise an old report would
// appear to be new. It has to call Expire before it forwards its table.
func (t *ReportTable) Update(r Report, nowUs int64) (changed bool) {
	element := t.agents[r.Agent.Name]
	if element != nil && !r.After(element.Value.(*tableEntry).Report) {
		return false
	}
	t.mark++
	r.AtUs = nowUs
	entry := &tableEntry{r, t.mark}
	if element == nil {
		if t.order.Len() >= MaxAgents {
			t.remove(t.order.Front())
		}
		t.agents[r.Agent.Name] = t.order.PushBack(entry)
		return true
	}
	element.Value = entry
	t.order.MoveToBack(element)
	return true
}

// Reports returns the last report of each agent, oldest first. The cost is proportional to the number of
// agents.
func (t *ReportTable) Reports() []Report {
	out := make([]Report, 0, t.order.Len())
	for element := t.order.Front(); element != nil; element = element.Next() {
		out = append(out, element.Value.(*tableEntry).Report)
	}
	return out
}

// ChangedSince returns the reports stored after a mark, newest first, and the mark for the next call. Mark 0
// gives all reports. The cost is proportional to the number of returned reports.
func (t *ReportTable) ChangedSince(after uint64) (reports []Report, mark uint64) {
	for element := t.order.Back(); element != nil; element = element.Prev() {
		entry := element.Value.(*tableEntry)
		if entry.mark <= after {
			break
		}
		reports = append(reports, entry.Report)
	}
	return reports, t.mark
}

// remove removes the agent of a list element.
func (t *ReportTable) remove(element *list.Element) {
	t.order.Remove(element)
	delete(t.agents, element.Value.(*tableEntry).Agent.Name)
}

// Expire removes the agents whose last report was received before a time.
func (t *ReportTable) Expire(beforeUs int64) {
	for element := t.order.Front(); element != nil; {
		next := element.Next()
		if entry := element.Value.(*tableEntry); entry.AtUs < beforeUs {
			t.remove(element)
		}
		element = next
	}
}
