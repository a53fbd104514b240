// Package routes holds per-route limits: which calls a route takes (by tenant, class and a
// prefix of the number called), the limits its calls get (attempt time-out, attempt count,
// spacing between attempts, share of the caller's deadline, servers), and the proof that each
// route keeps the standing rules of the protocol. It has no clock and no I/O: a table is data,
// checked once when it is loaded, and looked up for every call.
package routes

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Match says which calls a route takes. An empty field takes any value; Prefix is a prefix of
// the number called, in the hex digits of the protocol (parameter 20), at most 16 of them.
type Match struct {
	Tenant string
	Class  string
	Prefix string
}

// UntilDeadline is an AttemptTimeout that gives an attempt no time-out of its own: it ends at
// the module's give-up, within the usable deadline, as without a routes file. In the file it
// is written `attempt_timeout: deadline`; a route under such a parent may still give one.
const UntilDeadline = time.Duration(math.MaxInt64)

// Limits are what a route gives its calls. A zero field is inherited from the route's parent,
// and at the top from the table's defaults.
type Limits struct {
	AttemptTimeout time.Duration // how long one attempt may be out before it is given up
	Attempts       int           // most attempts of one call, the first included
	RetrySpacing   time.Duration // least time from a written give-up or a bad end to the next attempt
	DeadlineShare  float64       // share of the caller's deadline that all attempts may use, in (0, 1]
	Servers        []int         // pools a call may go to; nil: those its class allows
	Hedge          bool          // send a second attempt while the first is out
	RetryOnTimeout bool          // try again after an attempt that timed out
}

// Route is one entry of an operators' file.
type Route struct {
	Name   string
	Line   int // where it begins in its file; 0: not from a file
	Match  Match
	Limits Limits
}

// Table is an operators' file, read.
type Table struct {
	File     string
	Defaults Limits
	Routes   []Route
}

// specificity orders matches: a prefix digit weighs less than a named tenant or class, so
// that a route for a tenant is more specific than any prefix for all tenants.
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

// Contains tells whether every call that o takes is taken by m.
func (m Match) Contains(o Match) bool {
	return (m.Tenant == "" || m.Tenant == o.Tenant) && (m.Class == "" || m.Class == o.Class) &&
		strings.HasPrefix(o.Prefix, m.Prefix)
}

// Overlaps tells whether some call is taken by both.
func (m Match) Overlaps(o Match) bool {
	same := func(a, b string) bool { return a == "" || b == "" || a == b }
	return same(m.Tenant, o.Tenant) && same(m.Class, o.Class) &&
		(strings.HasPrefix(m.Prefix, o.Prefix) || strings.HasPrefix(o.Prefix, m.Prefix))
}

// Matches tells whether a call of this tenant and class to this number is taken.
func (m Match) Matches(tenant, class, number string) bool {
	return (m.Tenant == "" || m.Tenant == tenant) && (m.Class == "" || m.Class == class) &&
		strings.HasPrefix(number, m.Prefix)
}

func (m Match) String() string {
	part := func(s string) string { return cmp.Or(s, "*") }
	return fmt.Sprintf("tenant=%s class=%s prefix=%s", part(m.Tenant), part(m.Class), part(m.Prefix))
}

// inheritFrom fills the zero fields of l from its parent p.
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

// Equal tells whether two routes give their calls the same limits.
func (l Limits) Equal(o Limits) bool {
	return l.AttemptTimeout == o.AttemptTimeout && l.Attempts == o.Attempts &&
		l.RetrySpacing == o.RetrySpacing && l.DeadlineShare == o.DeadlineShare &&
		slices.Equal(l.Servers, o.Servers) && l.Hedge == o.Hedge && l.RetryOnTimeout == o.RetryOnTimeout
}

// Span is the longest time a call of these limits can take over all its attempts: each
// attempt out for its time-out, and the spacing between two.
func (l Limits) Span() time.Duration {
	if l.Attempts <= 0 {
		return 0
	}
	if l.AttemptTimeout == UntilDeadline {
		return UntilDeadline // the module ends the last attempt at the usable deadline
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

// resolve finds every route's parent once, and its effective limits from the most general
// down: a route's parent is always less specific, so an order by specificity has each
// parent before its children.
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

// Effective returns every route's limits with everything it inherits filled in, in the
// order of the routes.
func (t *Table) Effective() []Limits {
	_, effective := t.resolve()
	return effective
}
