package routes

// matchIndex finds routes by their exact match. The routes that contain a given one, or have calls in common
// with it, are found by looking up its prefixes (at most 17 lengths) for a few pairs of tenant and class,
// instead of comparing every route with every other.
type matchIndex struct {
	byMatch map[Match][]int
	tenants []string // all tenants that routes name, and ""
	classes []string // all classes that routes name, and ""
}

func newMatchIndex(t *Table) *matchIndex {
	b := &matchIndex{byMatch: map[Match][]int{}}
	seenT, seenC := map[string]bool{"": true}, map[string]bool{"": true}
	b.tenants, b.classes = []string{""}, []string{""}
	for i, r := range t.Routes {
		b.byMatch[r.Match] = append(b.byMatch[r.Match], i)
		if !seenT[r.Match.Tenant] {
			seenT[r.Match.Tenant] = true
			b.tenants = append(b.tenants, r.Match.Tenant)
		}
		if !seenC[r.Match.Class] {
			seenC[r.Match.Class] = true
			b.classes = append(b.classes, r.Match.Class)
		}
	}
	return b
}

// containing calls f for every route whose match contains or equals m.
func (b *matchIndex) containing(m Match, f func(int)) {
	for _, tenant := range exactOrAny(m.Tenant) {
		for _, class := range exactOrAny(m.Class) {
			for n := 0; n <= len(m.Prefix); n++ {
				for _, i := range b.byMatch[Match{tenant, class, m.Prefix[:n]}] {
					f(i)
				}
			}
		}
	}
}

// related calls f for every route whose prefix is m's or a prefix of it, and whose tenant and class can be
// those of one of m's calls. Each pair of routes with common calls is thus found once, from the route with
// the longer prefix; if the prefixes are equal, it is found from both.
func (b *matchIndex) related(m Match, f func(int)) {
	for _, tenant := range b.compatible(m.Tenant, b.tenants) {
		for _, class := range b.compatible(m.Class, b.classes) {
			for n := 0; n <= len(m.Prefix); n++ {
				for _, i := range b.byMatch[Match{tenant, class, m.Prefix[:n]}] {
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

// compatible returns the values of a field that can have calls in common with name: all if name is any.
func (b *matchIndex) compatible(name string, all []string) []string {
	if name == "" {
		return all
	}
	return exactOrAny(name)
}
