package main

import (
	"time"

	"woodrouter/internal/lab/emulator"
)

// twoZones returns a small deployment of two zones, one setup server in each, with the site's times.
func twoZones() emulator.Deployment {
	d := emulator.Campus()
	d.Name, d.Zones, d.ReportFields = "two zones", []string{"valley", "island"}, []string{"allowed"}
	d.Classes = []emulator.Class{{Name: "standard", Share: 0.94, Aim: 1500 * time.Millisecond, Deadline: 9 * time.Second, Worth: 1, LateShare: 0.25},
		{Name: "signing", Share: 0.06, Aim: 800 * time.Millisecond, Deadline: 6 * time.Second, Worth: 8, LateShare: 0.1}}
	d.DrainGrace, d.ClearWait, d.Repeat = listGrace, 200*time.Millisecond, 400*time.Millisecond
	d.FallMultiple, d.TipAfter, d.Cold = 2.5, 1500*time.Millisecond, 12*time.Second
	return d
}
