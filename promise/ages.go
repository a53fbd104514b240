package promise

// ageIndex lists call ids by the second of their record's time, so that expiring old records does not visit
// the newer ones. With half a million records from ten minutes, expiring the oldest ten seconds visits only
// the records of those seconds. A call is listed once for its claim and once for its resolution, so users
// have to look up the current record of each call.
type ageIndex map[int64][]string

// secondUs is one second in microseconds.
const secondUs = 1_000_000

// add lists a call under the time of its claim or resolution.
func (a ageIndex) add(atUs int64, call string) {
	second := floorSecond(atUs)
	a[second] = append(a[second], call)
}

// forEachOlder calls visit for every call listed under a second that begins before the given time. It removes
// the seconds that end by then; a second that contains the time stays listed for a later expiry.
func (a ageIndex) forEachOlder(beforeUs int64, visit func(call string)) {
	for second, calls := range a {
		if second*secondUs >= beforeUs {
			continue
		}
		for _, c := range calls {
			visit(c)
		}
		if (second+1)*secondUs <= beforeUs {
			delete(a, second)
		}
	}
}

// floorSecond converts microseconds to seconds, rounding down also for negative times.
func floorSecond(us int64) int64 {
	second := us / secondUs
	if us%secondUs < 0 {
		second--
	}
	return second
}
