package zonelab

import (
	"reflect"
	"testing"
)

// TestCommonDecisionsLoseFewerCalls models 100 agents. Common decisions must lose fewer calls to a dead
// zone than agents that decide alone, must not follow a flapping zone, and must keep every call at home
// without a fault. Equal seeds must give equal results.
func TestCommonDecisionsLoseFewerCalls(t *testing.T) {
	for _, fault := range Faults {
		fleet := Fleet{Agents: 100, Zones: 4, Servers: 6, Load: 0.6, Seed: 3, Common: true}
		common := fleet.Run(fault)
		if again := fleet.Run(fault); !reflect.DeepEqual(common, again) {
			t.Errorf("%s: %+v, then %+v", fault.Name, common, again)
		}
		fleet.Common = false
		alone := fleet.Run(fault)
		t.Logf("%s: common %+v, alone %+v", fault.Name, common, alone)
		if fault.EndsAt == 0 {
			if common.Lost != 0 || common.KeptHome != common.FromLiveZones {
				t.Errorf("calm: %+v", common)
			}
			continue
		}
		if common.Lost >= alone.Lost || common.ModeChanges > 2 || common.FailOver == 0 || common.FailBack == 0 {
			t.Errorf("%s: common %+v, alone %+v", fault.Name, common, alone)
		}
	}
}
