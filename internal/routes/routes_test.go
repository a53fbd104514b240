package routes

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

var rules = Rules{
	Classes: map[string]ClassRule{
		"private-lesson": {Deadline: 9 * time.Second, Pools: []int{0, 1, 2}},
		"group-lesson":   {Deadline: 9 * time.Second},
	},
	Tenants:   []string{"acme"},
	ClearWait: 300 * ms, AnswerSlack: 50 * ms, MaxAttempts: 5, Cancel: true,
	Servers: map[int]string{0: "up", 1: "draining", 2: "removed"},
}

var lawful = Limits{AttemptTimeout: 1500 * ms, Attempts: 3, RetrySpacing: 300 * ms, DeadlineShare: 1}

// TestCheck checks that each table is refused by the rule in want, or by none ("").
func TestCheck(t *testing.T) {
	route := func(name string, m Match, l Limits) Route { return Route{Name: name, Line: 1, Match: m, Limits: l} }
	for _, tc := range []struct {
		name   string
		routes []Route
		want   string
	}{
		{"lawful", []Route{route("a", Match{Class: "group-lesson"}, Limits{})}, ""},
		{"too many attempts", []Route{route("a", Match{}, Limits{Attempts: 6, AttemptTimeout: ms})}, RuleAttempts},
		{"resend too soon", []Route{route("a", Match{}, Limits{RetrySpacing: 200 * ms})}, RuleSpacing},
		{"attempt past the deadline", []Route{route("a", Match{}, Limits{Attempts: 1, AttemptTimeout: 9 * time.Second})}, RuleTimeout},
		{"lawful alone, not together", []Route{route("a", Match{}, Limits{Attempts: 4, AttemptTimeout: 2100 * ms})}, RuleSpan},
		{"share", []Route{route("a", Match{}, Limits{DeadlineShare: 1.5})}, RuleShare},
		{"share shrinks the deadline", []Route{route("a", Match{}, Limits{DeadlineShare: 0.5})}, RuleSpan},
		{"hedge", []Route{route("a", Match{}, Limits{Hedge: true})}, RuleSecondCopy},
		{"unknown class", []Route{route("a", Match{Class: "choir"}, Limits{})}, RuleClass},
		{"bad prefix", []Route{route("a", Match{Prefix: "7G"}, Limits{})}, RulePrefix},
		{"pool the class may not use", []Route{route("a", Match{Class: "private-lesson"}, Limits{Servers: []int{3}})}, RuleServers},
		{"only drained servers", []Route{route("a", Match{Class: "group-lesson"}, Limits{Servers: []int{1, 2}})}, RuleDrained},
		{"duplicate", []Route{route("a", Match{Tenant: "acme"}, Limits{}), route("b", Match{Tenant: "acme"}, Limits{})}, RuleDuplicate},
		{"overlap", []Route{route("a", Match{Tenant: "acme"}, Limits{Attempts: 2}), route("b", Match{Class: "group-lesson"}, Limits{})}, RuleOverlap},
		{"overlap, same limits", []Route{route("a", Match{Tenant: "acme"}, Limits{}), route("b", Match{Class: "group-lesson"}, Limits{})}, ""},
		{"wider than its parent", []Route{route("a", Match{Tenant: "acme"}, Limits{Attempts: 2}), route("b", Match{Tenant: "acme", Prefix: "7f"}, Limits{Attempts: 3})}, RuleWiderParent},
		{"narrower than its parent", []Route{route("a", Match{Tenant: "acme"}, Limits{}), route("b", Match{Tenant: "acme", Prefix: "7f"}, Limits{Attempts: 2})}, ""},
	} {
		table := &Table{File: "routes.yaml", Defaults: lawful, Routes: tc.routes}
		got := Check(table, rules)
		switch {
		case tc.want == "" && len(got) > 0:
			t.Errorf("%s: refused: %v", tc.name, got)
		case tc.want != "" && !slices.ContainsFunc(got, func(r Refusal) bool { return r.Rule == tc.want }):
			t.Errorf("%s: want rule %s, got %v", tc.name, tc.want, got)
		}
	}
}

// TestLookup checks that the index finds the same routes as a scan of all routes.
func TestLookup(t *testing.T) {
	table := bigTable(300)
	x := NewIndex(table)
	for i := range 2000 {
		tenant, class, number := fmt.Sprint("t", i%7), []string{"", "c"}[i%2], fmt.Sprintf("%016x", i*7919)
		want, wantOK := ScanLookup(table, tenant, class, number)
		r, _, ok := x.Lookup(tenant, class, number)
		if ok != wantOK || ok && r != &table.Routes[want] {
			t.Fatalf("%s %s %s: index %v, scan %d %v", tenant, class, number, r, want, wantOK)
		}
	}
}

func bigTable(n int) *Table {
	t := &Table{Defaults: lawful}
	for i := range n {
		m := Match{Prefix: fmt.Sprintf("%x", i*7919)[:1+i%4]}
		if i%3 == 0 {
			m.Tenant = fmt.Sprint("t", i%7)
		}
		if i%5 == 0 {
			m.Class = "c"
		}
		t.Routes = append(t.Routes, Route{Name: fmt.Sprint(i), Match: m})
	}
	return t
}

// BenchmarkLookup compares the index with a scan of every route, at 10,000 routes.
func BenchmarkLookup(b *testing.B) {
	table := bigTable(10000)
	x := NewIndex(table)
	b.Run("trie", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			x.Lookup("t3", "c", fmt.Sprintf("%016x", i))
		}
	})
	b.Run("scan", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			ScanLookup(table, "t3", "c", fmt.Sprintf("%016x", i))
		}
	})
}

// BenchmarkCheck measures the check of a whole file, by its number of routes.
func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		table := bigTable(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				Check(table, rules)
			}
		})
	}
}

// TestPairsMatchBruteForce checks that Check refuses as many pairs as a comparison of every route with every
// other, on tables where many routes have common calls.
func TestPairsMatchBruteForce(t *testing.T) {
	for seed := range 20 {
		table := bigTable(40 + seed)
		for i := range table.Routes {
			table.Routes[i].Limits.Attempts = 1 + (i*seed)%3
		}
		_, effective := table.resolve()
		want := 0
		for i, a := range table.Routes {
			for j := i + 1; j < len(table.Routes); j++ {
				b := table.Routes[j].Match
				if a.Match == b || !a.Match.Contains(b) && !b.Contains(a.Match) && a.Match.Overlaps(b) && !effective[i].Equal(effective[j]) {
					want++
				}
			}
		}
		got := 0
		for _, r := range Check(table, Rules{}) {
			if r.Rule == RuleOverlap || r.Rule == RuleDuplicate {
				got++
			}
		}
		if got != want || want == 0 {
			t.Errorf("seed %d: %d pairs refused, %d by brute force", seed, got, want)
		}
	}
}
