package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// required lists the fields without which an agent would act by a rule that nobody stated, such as a drain
// without a time limit. Every deployment of the platform provides them.
var required = []string{
	"nInstances", "rank", "resolution", "profiles", "stats.how",
	"limits.maxAttempts", "limits.connectTimeout",
	"guarantees.answerSlack", "guarantees.drainGrace", "guarantees.cold", "guarantees.coldFrom",
	"guarantees.fallMultiple", "guarantees.tipAfter", "domain.clearWait",
}

// Check validates the settings of a call agent. Its error names every missing field or, if none is missing,
// every field that is invalid by itself or contradicts another.
func Check(text []byte) error {
	var all map[string]any
	if err := json.Unmarshal(text, &all); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	var refused []error
	for _, path := range required {
		if !hasField(all, strings.Split(path, ".")) {
			refused = append(refused, fmt.Errorf("field %s: missing", path))
		}
	}
	in, err := Parse(text)
	if err != nil {
		return err
	}
	if refused == nil {
		refused = in.invalidFields()
	}
	return errors.Join(refused...)
}

func hasField(in map[string]any, path []string) bool {
	v, ok := in[path[0]]
	if !ok || v == nil {
		return false
	}
	if len(path) == 1 {
		return true
	}
	next, ok := v.(map[string]any)
	return ok && hasField(next, path[1:])
}

// invalidFields returns an error for each field that is invalid by itself or contradicts another.
func (in Info) invalidFields() (refused []error) {
	bad := func(field, format string, args ...any) {
		refused = append(refused, fmt.Errorf("field %s: "+format, append([]any{field}, args...)...))
	}
	g := in.Guarantees
	if in.Senders < 1 || in.Rank < 0 || in.Rank >= in.Senders {
		bad("rank", "%d is outside 0 to %d", in.Rank, in.Senders-1)
	}
	if len(in.Profiles) == 0 {
		bad("profiles", "none")
	}
	for i, p := range in.Profiles {
		if p.Name == "" || p.GoalTime <= 0 || p.Deadline <= 0 {
			bad(fmt.Sprintf("profiles[%d]", i), "%q with an aim of %v and a deadline of %v: the name must not be empty, and both times must be above 0", p.Name, Micros(p.GoalTime), Micros(p.Deadline))
		}
	}
	if in.Limits.MaxAttempts < 1 {
		bad("limits.maxAttempts", "%d", in.Limits.MaxAttempts)
	}
	if in.Limits.ConnectTimeout <= 0 {
		bad("limits.connectTimeout", "%v", Micros(in.Limits.ConnectTimeout))
	}
	if in.Domain.ClearWait < 0 {
		bad("domain.clearWait", "%v", Micros(in.Domain.ClearWait))
	}
	if g.DrainGrace <= in.Resolution { // a drain notice takes at least the delay of one message
		bad("guarantees.drainGrace", "%v is no more than resolution, %v: agents could not obey a drain in time", Micros(g.DrainGrace), Micros(in.Resolution))
	}
	if g.Cold > 0 && (g.FallMultiple <= 0 || g.TipAfter <= 0 || g.ColdFrom <= 0 || g.ColdFrom > 1) {
		bad("guarantees.cold", "%v with fallMultiple %g, tipAfter %v and coldFrom %g leaves a cold server no budget",
			Micros(g.Cold), g.FallMultiple, Micros(g.TipAfter), g.ColdFrom)
	}
	return refused
}
