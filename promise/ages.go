package promise

// ageIndex finds records by age without looking at the young ones: calls by the second of their
// time. A call stands in it once for each time it had (its claim's, its resolution's), so
// what is found must be looked up again. Half a million records of ten minutes cost an
// expiry of the oldest ten seconds a walk over those ten seconds alone.
type ageIndex map[int64][]string

const secondUs = 1_000_000

func (a ageIndex) add(atUs int64, call string) {
	at := floorSecond(atUs)
	a[at] = append(a[at], call)
}

// forEachOlder hands over each call of the seconds that begin before a time, and forgets those that
// lie wholly before it. A second that the time cuts is looked at again by a later call.
func (a ageIndex) forEachOlder(us int64, each func(call string)) {
	for at, calls := range a {
		if at*secondUs >= us {
			continue
		}
		for _, c := range calls {
			each(c)
		}
		if (at+1)*secondUs <= us {
			delete(a, at)
		}
	}
}

// floorSecond is the second a time lies in, also for times before 0.
func floorSecond(us int64) int64 {
	at := us / secondUs
	if us%secondUs < 0 {
		at--
	}
	return at
}
