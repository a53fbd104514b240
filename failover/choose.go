package failover

import "hash/fnv"

// ChooseZone is the zone whose setup servers a call of a class may use, for an agent in a zone. A
// call's place on the line from 0 to 1 follows from its id alone: where a plan sends more away
// than the one before, the calls that stay are those that stayed, and a call asked of another
// agent of the zone goes to the same zone. Without a plan, or for a zone that it does not
// name, it is the agent's own.
func (p Plan) ChooseZone(zone, class, call string) string {
	place, ok := p.Zones[zone]
	if !ok {
		return zone
	}
	away := place.awayShare()
	scale := 1.0
	if most, ok := place.Caps[class]; ok && most < away {
		scale = most / away
	}
	at := hashFraction(call)
	for _, s := range place.Shares {
		if at < s.Part*scale {
			return s.Zone
		}
		at -= s.Part * scale
	}
	return zone
}

// hashFraction is a call's place in [0, 1).
func hashFraction(call string) float64 {
	h := fnv.New64a()
	h.Write([]byte(call))
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9 // splitmix64's finalizer, as in package shard
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}
