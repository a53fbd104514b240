package routes

// matchIndex finds routes by their exact match. The routes that contain a given one, or have calls in common
// with it, are found by looking up its prefixes (17 lengths at most: 0 to 16 digits) for a few pairs of tenant
// and class, instead of comparing every route with every other.
type matchIndex struct {
	byMatch map[Match][]int
	tenants []string // "" (any), and all tenants that routes name
	classes []string // "" (any), and all classes that routes name
}

func newMatchIndex(t *Table) *matchIndex {
	index := &matchIndex{byMatch: map[Match][]int{}}
	seenTenants, seenClasses := map[string]bool{"": true}, map[string]bool{"": true}
	index.tenants, index.classes = []string{""}, []string{""}
	for i, r := range t.Routes {
		index.byMatch[r.Match] = append(index.byMatch[r.Match], i)
		if !seenTenants[r.Match.Tenant] {
			seenTenants[r.Match.Tenant] = true
			index.tenants = append(index.tenants, r.Match.Tenant)
		}
		if !seenClasses[r.Match.Class] {
			seenClasses[r.Match.Class] = true
			index.classes = append(index.classes, r.Match.Class)
		}
	}
	return index
}

// containing calls f for every route whose match contains or equals m.
func (index *matchIndex) containing(m Match, f func(int)) {
	for _, tenant := range exactOrAny(m.Tenant) {
		for _, class := range exactOrAny(m.Class) {
			for n := 0; n <= len(m.Prefix); n++ {
				for _, i := range index.byMatch[Match{tenant, class, m.Prefix[:n]}] {
					f(i)
				}
			}
		}
	}
}

// overlapping calls f for every route whose prefix is m's or a prefix of it, and whose tenant and class can be
// those of one of m's calls. Each pair of routes with common calls is thus found once, from the route with
// the longer prefix; if the prefixes are equal, it is found from both.
func (index *matchIndex) overlapping(m Match, f func(int)) {
	for _, tenant := range index.compatible(m.Tenant, index.tenants) {
		for _, class := range index.compatible(m.Class, index.classes) {
			for n := 0; n <= len(m.Prefix); n++ {
				for _, i := range index.byMatch[Match{tenant, class, m.Prefix[:n]}] {
					f(i)
				}
			}
		}
	}
}

func exactOrAny(name string) []string {
	if name == "" {
		return []string{""}
	}
	return []string{name, ""}
}

// compatible returns the tenants (or classes) of routes that can have calls in common with a route whose tenant
// (or class) is name: all of them if it is "" (any), else name and "".
func (index *matchIndex) compatible(name string, all []string) []string {
	if name == "" {
		return all
	}
	return exactOrAny(name)
}
