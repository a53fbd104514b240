package routes

// Index finds the route of a call: the most specific one that matches it. It has a trie of hex digits for
// each pair of tenant and class (either may be "any"), so that a look-up walks at most four paths of 16
// digits, whatever the number of routes. It must be built from a table that Check found valid: overlapping
// routes then have equal limits, and the first in the file wins.
type Index struct {
	tries  map[[2]string]*node
	table  *Table
	limits []Limits
}

type node struct {
	route int // index of the route whose prefix ends here; -1: none
	next  [16]*node
}

func newNode() *node { return &node{route: -1} }

// NewIndex builds the index of a table.
func NewIndex(t *Table) *Index {
	_, effective := t.resolve()
	x := &Index{tries: map[[2]string]*node{}, table: t, limits: effective}
	for i, r := range t.Routes {
		key := [2]string{r.Match.Tenant, r.Match.Class}
		n := x.tries[key]
		if n == nil {
			n = newNode()
			x.tries[key] = n
		}
		for _, c := range r.Match.Prefix {
			d := digit(c)
			if d < 0 {
				n = nil
				break
			}
			if n.next[d] == nil {
				n.next[d] = newNode()
			}
			n = n.next[d]
		}
		if n != nil && n.route < 0 {
			n.route = i
		}
	}
	return x
}

func digit(c rune) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	}
	return -1
}

// Lookup returns the route that matches a call, and its limits. If no route does, ok is false and the limits
// are the table's defaults.
func (x *Index) Lookup(tenant, class, number string) (route *Route, limits Limits, ok bool) {
	best, score := -1, -1
	for _, key := range [4][2]string{{tenant, class}, {tenant, ""}, {"", class}, {"", ""}} {
		n := x.tries[key]
		for depth := 0; n != nil; depth++ {
			if n.route >= 0 {
				if s := x.table.Routes[n.route].Match.specificity(); s > score || s == score && n.route < best {
					best, score = n.route, s
				}
			}
			if depth >= len(number) {
				break
			}
			d := digit(rune(number[depth]))
			if d < 0 {
				break
			}
			n = n.next[d]
		}
	}
	if best < 0 {
		return nil, x.table.Defaults, false
	}
	return &x.table.Routes[best], x.limits[best], true
}

// ScanLookup finds the index of a call's route by comparing every route in order. It is the reference that
// Index is tested and measured against.
func ScanLookup(t *Table, tenant, class, number string) (int, bool) {
	best, score := -1, -1
	for i, r := range t.Routes {
		if s := r.Match.specificity(); r.Match.Matches(tenant, class, number) && s > score {
			best, score = i, s
		}
	}
	return best, best >= 0
}
