package rollout

import (
	"fmt"
	"strings"
	"testing"
)

// TestTable checks that only newer reports replace stored ones, also when they arrive twice or out of order.
func TestTable(t *testing.T) {
	table := NewReportTable()
	describe := func(reports []Report) string {
		var out []string
		for _, r := range reports {
			out = append(out, fmt.Sprint(r.Agent.Name, " ", r.Life, ".", r.Seq, "@", r.AtUs))
		}
		return strings.Join(out, ", ")
	}
	for _, c := range []struct {
		agent     string
		life      int64
		seq       uint64
		now       int64
		taken     bool
		wantTable string
		sinceMark string // reports stored since the previous step
	}{
		{"a", 5, 1, 10, true, "a 5.1@10", "a 5.1@10"},
		{"b", 5, 1, 11, true, "a 5.1@10, b 5.1@11", "b 5.1@11"},
		{"a", 5, 1, 12, false, "a 5.1@10, b 5.1@11", ""}, // duplicate
		{"a", 5, 3, 13, true, "b 5.1@11, a 5.3@13", "a 5.3@13"},
		{"a", 5, 2, 14, false, "b 5.1@11, a 5.3@13", ""}, // out of order
		{"a", 6, 1, 15, true, "b 5.1@11, a 6.1@15", "a 6.1@15"},
		{"a", 5, 9, 16, false, "b 5.1@11, a 6.1@15", ""}, // from a previous life, late
	} {
		_, mark := table.ChangedSince(0)
		if taken := table.Update(Report{Agent: Agent{Name: c.agent}, Life: c.life, Seq: c.seq, AtUs: 99}, c.now); taken != c.taken {
			t.Errorf("at %d: taken %v", c.now, taken)
		}
		changed, _ := table.ChangedSince(mark)
		if got := describe(table.Reports()); got != c.wantTable || describe(changed) != c.sinceMark {
			t.Errorf("at %d: %s, changed %s; want %s, %s", c.now, got, describe(changed), c.wantTable, c.sinceMark)
		}
	}
	if all, _ := table.ChangedSince(0); describe(all) != "a 6.1@15, b 5.1@11" {
		t.Error(describe(all))
	}
	if table.Expire(12); describe(table.Reports()) != "a 6.1@15" {
		t.Error(describe(table.Reports()))
	}
	if !table.Update(Report{Agent: Agent{Name: "b"}, Life: 5, Seq: 1}, 17) {
		t.Error("a report of an expired agent is refused")
	}
}
