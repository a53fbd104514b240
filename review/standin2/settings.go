package main

// Settings of the deployments taipei-lessons and semak-kl-penang, with the figures of their site files and the names of the platform's
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

// semak returns the settings of the site semak-kl-penang, whose servers report what they can take, and no wait.
func semak(senders, rank, pools int) object {
	return object{
		"nInstances": senders, "rank": rank, "resolution": 5 * millisecond, "discovery": "pushed", "family": "trunks",
		"callers":   object{"marksRetry": false},
		"customers": customers(60, map[string]float64{"lembah-realty": 0.55, "teratai-homes": 0.32, "seri-lets": 0.13}),
		"domain": object{"advice": false, "classHold": []int{8_900_000, 5_300_000}, "clearWait": 200 * millisecond, "farState": "piggyback",
			"givesWait": false, "networkForm": "groups", "ownNumber": -1, "poolsByClass": [][]int{poolNumbers(pools), poolNumbers(pools)},
			"repeat": 400 * millisecond, "widths": []int{1, 1}},
		"guarantees": object{"answerSlack": 20 * millisecond, "askWithin": 10 * second, "cold": 14 * second, "coldFrom": 0.3,
			"drainGrace": 500 * millisecond, "fallMultiple": 2.5, "tipAfter": 1_500_000},
		"kinds": []string{"std-1c"}, "layers": []string{"check-servers"}, "localities": []string{"klang-valley", "penang"}, "myZone": "klang-valley",
		"limits": limits(5, true), "overShareWorth": 0.2,
		"profiles": []object{class("standard-check", 1500, 9000, 1, 0.25), class("signing-check", 800, 6000, 8, 0.1)},
		"stats":    object{"fields": []string{"spare", "total", "allowed"}, "how": "piggyback"}, "weightSource": "silent", "worthBy": "request", "tier": 0,
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
