// Package routes implements per-route limits: which calls a route matches (by tenant, class and a prefix of
// the called number), the limits of its calls (attempt time-out, number of attempts, spacing between
// attempts, share of the caller's deadline, servers), and the check that each route keeps the rules of the
// protocol. It has no clock and no I/O: a table is checked once when it is loaded, and looked up for every
// call.
package routes

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Match selects the calls of a route. An empty field matches any value. Prefix is a prefix of the called
// number, of at most 16 hex digits as in the protocol (parameter 20).
type Match struct {
	Tenant string
	Class  string
	Prefix string
}

// UntilDeadline is an AttemptTimeout without a time-out of the route: the policy ends the attempt within the
// usable deadline, as without a routes file. In the file it is written `attempt_timeout: deadline`. A route
// with such a parent may still have a time-out.
const UntilDeadline = time.Duration(math.MaxInt64)

// Limits are the limits of a route's calls. A zero field is inherited from the route's parent, or from the
// table's defaults if it has none.
type Limits struct {
	AttemptTimeout time.Duration // after this an attempt is given up
	Attempts       int           // most attempts of one call, including the first
	RetrySpacing   time.Duration // least time from the end of a failed or given-up attempt to the next
	DeadlineShare  float64       // share of the caller's deadline for all attempts together, in (0, 1]
	Servers        []int         // pools that calls may go to; nil: those allowed for the class
	Hedge          bool          // sends a second attempt while the first is out
	RetryOnTimeout bool          // retries after an attempt that timed out
}

// Route is one entry of an operators' file.
type Route struct {
	Name   string
	Line   int // first line in the file; 0: not from a file
	Match  Match
	Limits Limits
}

// Table is the content of an operators' file.
type Table struct {
	File     string
	Defaults Limits
	Routes   []Route
}

// specificity orders matches. A tenant or class counts more than any prefix, so that a route for one tenant
// is more specific than a route with a prefix for all tenants.
func (m Match) specificity() int {
	n := len(m.Prefix)
	if m.Tenant != "" {
		n += 100
	}
	if m.Class != "" {
		n += 100
	}
	return n
}

// Contains returns whether m matches every call that o matches.
func (m Match) Contains(o Match) bool {
	return (m.Tenant == "" || m.Tenant == o.Tenant) && (m.Class == "" || m.Class == o.Class) &&
		strings.HasPrefix(o.Prefix, m.Prefix)
}

// Overlaps returns whether some call is matched by both.
func (m Match) Overlaps(o Match) bool {
	same := func(a, b string) bool { return a == "" || b == "" || a == b }
	return same(m.Tenant, o.Tenant) && same(m.Class, o.Class) &&
		(strings.HasPrefix(m.Prefix, o.Prefix) || strings.HasPrefix(o.Prefix, m.Prefix))
}

// Matches returns whether m matches a call of a tenant and class to a number.
func (m Match) Matches(tenant, class, number string) bool {
	return (m.Tenant == "" || m.Tenant == tenant) && (m.Class == "" || m.Class == class) &&
		strings.HasPrefix(number, m.Prefix)
}

func (m Match) String() string {
	part := func(s string) string { return cmp.Or(s, "*") }
	return fmt.Sprintf("tenant=%s class=%s prefix=%s", part(m.Tenant), part(m.Class), part(m.Prefix))
}

// inheritFrom returns l with its zero fields filled from its parent p.
func (l Limits) inheritFrom(p Limits) Limits {
	if l.AttemptTimeout == 0 {
		l.AttemptTimeout = p.AttemptTimeout
	}
	if l.Attempts == 0 {
		l.Attempts = p.Attempts
	}
	if l.RetrySpacing == 0 {
		l.RetrySpacing = p.RetrySpacing
	}
	if l.DeadlineShare == 0 {
		l.DeadlineShare = p.DeadlineShare
	}
	if l.Servers == nil {
		l.Servers = p.Servers
	}
	l.Hedge = l.Hedge || p.Hedge
	l.RetryOnTimeout = l.RetryOnTimeout || p.RetryOnTimeout
	return l
}

// Equal returns whether two limits are the same.
func (l Limits) Equal(o Limits) bool {
	return l.AttemptTimeout == o.AttemptTimeout && l.Attempts == o.Attempts &&
		l.RetrySpacing == o.RetrySpacing && l.DeadlineShare == o.DeadlineShare &&
		slices.Equal(l.Servers, o.Servers) && l.Hedge == o.Hedge && l.RetryOnTimeout == o.RetryOnTimeout
}

// Span returns the longest time that all attempts of a call can take: each attempt's time-out, and the
// spacing between them.
func (l Limits) Span() time.Duration {
	if l.Attempts <= 0 {
		return 0
	}
	if l.AttemptTimeout == UntilDeadline {
		return UntilDeadline // the policy ends the last attempt at the usable deadline
	}
	return time.Duration(l.Attempts)*l.AttemptTimeout + time.Duration(l.Attempts-1)*l.RetrySpacing
}

// parentOf returns the index of the most specific route that contains route i, or -1.
func (t *Table) parentOf(index *matchIndex, i int) int {
	best, m := -1, t.Routes[i].Match
	index.containing(m, func(j int) {
		if r := t.Routes[j]; j != i && r.Match != m &&
			(best < 0 || r.Match.specificity() > t.Routes[best].Match.specificity()) {
			best = j
		}
	})
	return best
}

// resolve finds every route's parent and effective limits. It goes through the routes by increasing
// specificity: a parent is always less specific than its children, so it comes before them.
func (t *Table) resolve() (parents []int, effective []Limits) {
	n, index := len(t.Routes), newMatchIndex(t)
	parents, effective = make([]int, n), make([]Limits, n)
	order := make([]int, n)
	for i := range n {
		parents[i], order[i] = t.parentOf(index, i), i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return t.Routes[a].Match.specificity() - t.Routes[b].Match.specificity()
	})
	for _, i := range order {
		p := t.Defaults
		if parents[i] >= 0 {
			p = effective[parents[i]]
		}
		effective[i] = t.Routes[i].Limits.inheritFrom(p)
	}
	return parents, effective
}

// Effective returns every route's limits, including those it inherits, in the order of the routes.
func (t *Table) Effective() []Limits {
	_, effective := t.resolve()
	return effective
}
