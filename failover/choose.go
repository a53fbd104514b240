package failover

import "hash/fnv"

// ChooseZone returns the zone whose setup servers an agent in the given zone uses for a call. Without a plan,
// or for a zone that the plan does not list, this is the agent's own zone.
//
// The choice depends only on the plan, the zone, the class and a hash of the call id. Thus all agents of a
// zone send the same call to the same zone, and a larger share moves only the additional calls.
func (p Plan) ChooseZone(zone, class, call string) string {
	placement, ok := p.Zones[zone]
	if !ok {
		return zone
	}
	away := placement.awayShare()
	scale := 1.0
	if limit, ok := placement.Caps[class]; ok && limit < away {
		scale = limit / away
	}
	fraction := hashFraction(call)
	for _, s := range placement.Shares {
		if fraction < s.Part*scale {
			return s.Zone
		}
		fraction -= s.Part * scale
	}
	return zone
}

// hashFraction maps a call id to a number in [0, 1), uniformly.
func hashFraction(call string) float64 {
	h := fnv.New64a()
	h.Write([]byte(call))
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9 // splitmix64's finalizer, as in shard.rendezvousWeight
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}
