package zonelab

import (
	"reflect"
	"testing"
)

// TestCommonDecisionsLoseFewerCalls: at 100 agents one decision for all loses fewer calls to a dead zone
// than agents that decide alone, does not swing with a flapping zone, keeps every call home in
// calm, and a run follows from its seed.
func TestCommonDecisionsLoseFewerCalls(t *testing.T) {
	for _, f := range Faults {
		fleet := Fleet{Agents: 100, Zones: 4, Servers: 6, Load: 0.6, Seed: 3, Common: true}
		common := fleet.Run(f)
		if again := fleet.Run(f); !reflect.DeepEqual(common, again) {
			t.Errorf("%s: %+v, then %+v", f.Name, common, again)
		}
		fleet.Common = false
		alone := fleet.Run(f)
		t.Logf("%s: common %+v, alone %+v", f.Name, common, alone)
		if f.EndsAt == 0 {
			if common.Lost != 0 || common.KeptHome != common.FromLiveZones {
				t.Errorf("calm: %+v", common)
			}
			continue
		}
		if common.Lost >= alone.Lost || common.ModeChanges > 2 || common.FailOver == 0 || common.FailBack == 0 {
			t.Errorf("%s: common %+v, alone %+v", f.Name, common, alone)
		}
	}
}
