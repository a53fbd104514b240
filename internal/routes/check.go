package routes

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Rules are what a table is checked against. They come from the settings and the protocol.
type Rules struct {
	Classes      map[string]ClassRule
	Tenants      []string       // the settings' tenants; nil: calls have no tenant
	ClearWait    time.Duration  // wait after a failed attempt before the next; 300 ms on this platform
	AnswerSlack  time.Duration  // subtracted from every deadline, for the answer to reach the caller
	MaxAttempts  int            // attempts of one call
	Cancel       bool           // an attempt may be given up by a release message
	SecondCopies bool           // a call may have two attempts out at the same time
	Servers      map[int]string // state of each pool ("up", "draining", "removed"); nil: not known
}

// ClassRule has the settings of one class.
type ClassRule struct {
	Deadline time.Duration // time the caller waits, over all attempts
	Pools    []int         // pools that calls of the class may go to; nil: any
}

// Refusal is one reason why a table is invalid.
type Refusal struct {
	File  string
	Line  int
	Route string
	Rule  string // one of the Rule constants, a stable name for tests and the operators' documentation
	What  string // description with the values
}

// String returns the refusal in one line: file:line: route "name": description [rule name].
func (r Refusal) String() string {
	return fmt.Sprintf("%s:%d: route %q: %s [rule %s]", r.File, r.Line, r.Route, r.What, r.Rule)
}

// The names of the rules; docs/routes.md explains each.
const (
	RuleAttempts    = "attempts"     // 1 <= attempts <= Rules.MaxAttempts
	RuleSpacing     = "spacing"      // no further attempt sooner than ClearWait after one was given up
	RuleTimeout     = "timeout"      // an attempt needs a time-out within the usable deadline
	RuleShare       = "share"        // deadline share in (0, 1]
	RuleSpan        = "span"         // all attempts together end before the caller gives up
	RuleSecondCopy  = "second-copy"  // no second copy unless the settings allow it
	RuleClass       = "class"        // class and tenant must be in the settings
	RulePrefix      = "prefix"       // at most 16 lower-case hex digits
	RuleServers     = "servers"      // pools must be allowed for the class and be on the list
	RuleDrained     = "drained"      // at least one of a route's pools must be up
	RuleDuplicate   = "duplicate"    // two routes with the same match
	RuleOverlap     = "overlap"      // two routes with common calls and other limits, neither of which contains the other
	RuleWiderParent = "wider-parent" // a route that allows more than its parent
)

// Check checks every route of a table against the rules and returns all refusals, in the order of the file.
// The table is valid if there are none.
func Check(t *Table, r Rules) []Refusal {
	var out []Refusal
	refuse := func(i int, rule, format string, args ...any) {
		line, name := 0, "defaults"
		if i >= 0 {
			line, name = t.Routes[i].Line, t.Routes[i].Name
		}
		out = append(out, Refusal{t.File, line, name, rule, fmt.Sprintf(format, args...)})
	}
	for _, class := range names(r.Classes) { // the defaults apply to calls that match no route
		checkLimits(t.Defaults, class, r, func(rule, f string, a ...any) { refuse(-1, rule, f, a...) })
	}
	parents, effective := t.resolve()
	for i := range t.Routes {
		checkMatch(t.Routes[i].Match, r, func(rule, f string, a ...any) { refuse(i, rule, f, a...) })
		l := effective[i]
		for _, class := range classesOf(t.Routes[i].Match, r) {
			checkLimits(l, class, r, func(rule, f string, a ...any) { refuse(i, rule, f, a...) })
		}
	}
	checkPairs(t, parents, effective, func(i int, rule, f string, a ...any) { refuse(i, rule, f, a...) })
	slices.SortStableFunc(out, func(a, b Refusal) int {
		return cmp.Or(a.Line-b.Line, strings.Compare(a.Rule, b.Rule), strings.Compare(a.What, b.What))
	})
	return slices.Compact(out) // a route for all classes may have got the same refusal for each
}

type refuser func(rule, format string, args ...any)

func checkMatch(m Match, r Rules, refuse refuser) {
	if m.Class != "" {
		if _, ok := r.Classes[m.Class]; !ok {
			refuse(RuleClass, "class %q is not one of the settings (%s)", m.Class, strings.Join(names(r.Classes), ", "))
		}
	}
	if m.Tenant != "" && !slices.Contains(r.Tenants, m.Tenant) {
		refuse(RuleClass, "tenant %q is not one of the settings", m.Tenant)
	}
	if len(m.Prefix) > 16 {
		refuse(RulePrefix, "prefix %q has %d digits, a number has 16", m.Prefix, len(m.Prefix))
	}
	if i := strings.IndexFunc(m.Prefix, func(c rune) bool { return !strings.ContainsRune("0123456789abcdef", c) }); i >= 0 {
		refuse(RulePrefix, "prefix %q: byte %d (%q) is no lower-case hex digit", m.Prefix, i, m.Prefix[i])
	}
}

// classesOf returns the classes of calls that a match can take: one, or all in the settings.
func classesOf(m Match, r Rules) []string {
	if m.Class != "" {
		if _, ok := r.Classes[m.Class]; ok {
			return []string{m.Class}
		}
		return nil
	}
	return names(r.Classes)
}

func names(m map[string]ClassRule) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// checkLimits checks one route's effective limits for one class.
func checkLimits(l Limits, class string, r Rules, refuse refuser) {
	c := r.Classes[class]
	if l.Attempts < 1 || r.MaxAttempts > 0 && l.Attempts > r.MaxAttempts {
		refuse(RuleAttempts, "attempts %d, the settings allow 1 to %d", l.Attempts, r.MaxAttempts)
	}
	if l.Attempts > 1 && l.RetrySpacing < r.ClearWait {
		refuse(RuleSpacing, "retry_spacing %v is sooner than the %v after a give-up", l.RetrySpacing, r.ClearWait)
	}
	if l.DeadlineShare <= 0 || l.DeadlineShare > 1 {
		refuse(RuleShare, "deadline_share %g is outside (0, 1]", l.DeadlineShare)
		return
	}
	usable := time.Duration(float64(c.Deadline)*l.DeadlineShare) - r.AnswerSlack
	switch {
	case l.AttemptTimeout <= 0:
		refuse(RuleTimeout, "attempt_timeout %v: an attempt needs a time-out", l.AttemptTimeout)
	case l.AttemptTimeout == UntilDeadline:
		// the route has no time-out: the policy gives the call up within the usable deadline
	case l.AttemptTimeout > usable:
		refuse(RuleTimeout, "attempt_timeout %v ends after class %s's caller gives up (%v usable of %v)",
			l.AttemptTimeout, class, usable, c.Deadline)
	case l.Attempts >= 1 && l.Span() > usable:
		refuse(RuleSpan, "attempts %d x timeout %v + %d x spacing %v = %v, beyond the %v usable of class %s's %v",
			l.Attempts, l.AttemptTimeout, l.Attempts-1, l.RetrySpacing, l.Span(), usable, class, c.Deadline)
	}
	if l.Hedge && !r.SecondCopies {
		refuse(RuleSecondCopy, "hedge would have a second copy of a set-up out, which the settings forbid")
	}
	if l.RetryOnTimeout && l.Attempts > 1 && !r.Cancel && !r.SecondCopies {
		refuse(RuleSecondCopy, "retry_on_timeout without calling off: the timed-out attempt may still be out")
	}
	checkServers(l.Servers, class, c, r, refuse)
}

func checkServers(servers []int, class string, c ClassRule, r Rules, refuse refuser) {
	if servers == nil {
		return
	}
	if len(servers) == 0 {
		refuse(RuleServers, "servers is empty: no call could go anywhere")
		return
	}
	up := 0
	for _, p := range servers {
		if c.Pools != nil && !slices.Contains(c.Pools, p) {
			refuse(RuleServers, "server pool %d is not one that class %s may go to (%v)", p, class, c.Pools)
		}
		state, known := r.Servers[p]
		if r.Servers != nil && !known {
			refuse(RuleServers, "server pool %d is on no list", p)
		}
		if state == "up" || r.Servers == nil {
			up++
		}
	}
	if r.Servers != nil && up == 0 {
		refuse(RuleDrained, "every server of %v is draining or removed", servers)
	}
}

// checkPairs refuses duplicates, overlaps with different limits, and routes that allow more than their
// parent.
func checkPairs(t *Table, parents []int, effective []Limits, refuse func(i int, rule, format string, args ...any)) {
	index := newMatchIndex(t)
	for j, route := range t.Routes {
		index.overlapping(route.Match, func(i int) {
			a := t.Routes[i]
			switch {
			case a.Match == route.Match && i < j:
				refuse(j, RuleDuplicate, "takes the same calls as route %q (line %d): %v", a.Name, a.Line, a.Match)
			case a.Match == route.Match, a.Match.Contains(route.Match), route.Match.Contains(a.Match):
			case len(a.Match.Prefix) == len(route.Match.Prefix) && i > j: // found from both routes, reported once
			case a.Match.Overlaps(route.Match) && !effective[i].Equal(effective[j]):
				first, second := min(i, j), max(i, j)
				refuse(second, RuleOverlap, "shares calls with route %q (line %d) and gives them other limits: %v and %v",
					t.Routes[first].Name, t.Routes[first].Line, t.Routes[second].Match, t.Routes[first].Match)
			}
		})
		if p := parents[j]; p >= 0 {
			checkNotWider(effective[j], effective[p], t.Routes[p].Name, func(rule, f string, args ...any) {
				refuse(j, rule, f, args...)
			})
		}
	}
}

// checkNotWider refuses a route that allows more than its parent. A more specific route may tighten limits
// but not loosen them, so that what was checked for the parent holds for all routes within it.
func checkNotWider(l, parentLimits Limits, parentName string, refuse refuser) {
	if l.Attempts > parentLimits.Attempts {
		refuse(RuleWiderParent, "attempts %d beyond its parent %q's %d", l.Attempts, parentName, parentLimits.Attempts)
	}
	if l.DeadlineShare > parentLimits.DeadlineShare {
		refuse(RuleWiderParent, "deadline_share %g beyond its parent %q's %g", l.DeadlineShare, parentName, parentLimits.DeadlineShare)
	}
	if l.Span() > parentLimits.Span() {
		refuse(RuleWiderParent, "span %v beyond its parent %q's %v", l.Span(), parentName, parentLimits.Span())
	}
	if parentLimits.Servers != nil {
		for _, s := range l.Servers {
			if !slices.Contains(parentLimits.Servers, s) {
				refuse(RuleWiderParent, "server pool %d is not among its parent %q's %v", s, parentName, parentLimits.Servers)
			}
		}
	}
}
