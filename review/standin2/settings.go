package main

// Settings of the deployment taipei-lessons, with the figures of its site file and the names of the platform's
// settings object. Times are in microseconds.

const (
	second      = 1_000_000
	millisecond = 1_000
)

type object = map[string]any

// taipei returns the settings of the site taipei-lessons for one of so many senders, and so many pools.
func taipei(senders, rank, pools int) object {
	return object{
		"nInstances": senders, "rank": rank, "resolution": 5 * millisecond, "discovery": "pushed", "family": "trunks",
		"callers":   object{"marksRetry": false},
		"customers": customers(60, map[string]float64{"east-gate-english": 0.54, "harbour-japanese": 0.27, "hillside-hakka": 0.19}),
		"domain": object{"advice": false, "classHold": []int{10_300_000, 12_400_000}, "clearWait": 300 * millisecond, "farState": "piggyback",
			"givesWait": false, "networkForm": "groups", "ownNumber": -1, "poolsByClass": [][]int{poolNumbers(pools), poolNumbers(pools)},
			"repeat": 800 * millisecond, "widths": []int{1, 1}},
		"guarantees": object{"answerSlack": 20 * millisecond, "askWithin": 10 * second, "cold": 14 * second, "coldFrom": 0.29,
			"drainGrace": 2 * second, "fallMultiple": 3.0, "tipAfter": second},
		"kinds": []string{"std-1core"}, "layers": []string{"call-setup"}, "localities": []string{"hsinchu-main"}, "myZone": "hsinchu-main",
		"limits": limits(5, true), "overShareWorth": 0.1,
		"profiles": []object{class("group-lesson", 1500, 9000, 1, 0.25), class("private-lesson", 1500, 9000, 3, 0.1)},
		"stats":    object{"fields": []string{"spare", "total", "latency_ms"}, "how": "piggyback"}, "weightSource": "silent", "worthBy": "request", "tier": 0,
	}
}

func class(name string, aimMs, deadlineMs int, worth, late float64) object {
	return object{"name": name, "goalTime": aimMs * millisecond, "deadline": deadlineMs * millisecond, "group": "all", "keyTtl": 5 * second,
		"lateShare": late, "semantics": "pure", "stream": true, "worth": worth}
}

func limits(attempts int, probes bool) object {
	return object{"cancel": true, "connectTimeout": 500 * millisecond, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400_000, "keepalive": 600 * second,
		"maxAttempts": attempts, "maxRetryAfter": 2 * second, "maxStreams": 1 << 20, "mayTell": false, "mostHeld": 20_000, "probes": probes,
		"retryAfter": true, "secondCopies": false}
}

func customers(perSecond float64, shares map[string]float64) (list []object) {
	for name, share := range shares {
		list = append(list, object{"name": name, "allowancePerS": perSecond * share, "share": share})
	}
	return list
}

func poolNumbers(n int) (numbers []int) {
	for i := range n {
		numbers = append(numbers, i)
	}
	return numbers
}
