// Package settings reads the settings object that a call agent gets at its start. It is the same in the
// simulator's protocol and in a call agent's configuration.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"woodrouter/policy"
)

// Info holds the fields of the settings object that the program uses; others are ignored. Times are in
// microseconds.
type Info struct {
	Senders    int                       `json:"nInstances"`
	Rank       int                       `json:"rank"`
	Profiles   []profile                 `json:"profiles"`
	Customers  []customer                `json:"customers"`
	OverShare  float64                   `json:"overShareWorth"`
	Resolution int64                     `json:"resolution"`
	Callers    struct{ MarksRetry bool } `json:"callers"`
	Stats      struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"stats"`
	Limits struct {
		MaxAttempts    int   `json:"maxAttempts"`
		MaxRetryAfter  int64 `json:"maxRetryAfter"`
		RetryAfter     bool  `json:"retryAfter"`
		Probes         bool  `json:"probes"`
		Cancel         bool  `json:"cancel"`
		ConnectTimeout int64 `json:"connectTimeout"`
	} `json:"limits"`
	Guarantees struct {
		AnswerSlack  int64   `json:"answerSlack"`
		DrainGrace   int64   `json:"drainGrace"`
		Cold         int64   `json:"cold"`
		ColdFrom     float64 `json:"coldFrom"`
		FallMultiple float64 `json:"fallMultiple"`
		TipAfter     int64   `json:"tipAfter"`
	} `json:"guarantees"`
	Domain struct {
		ClassHold    []int64 `json:"classHold"`
		ClearWait    int64   `json:"clearWait"`
		Repeat       int64   `json:"repeat"`
		GivesWait    bool    `json:"givesWait"`
		PoolsByClass [][]int `json:"poolsByClass"`
		Widths       []int   `json:"widths"`
	} `json:"domain"`
	Discovery string `json:"discovery"`
	MyZone    string `json:"myZone"` // zone of this instance; "": the platform has no zones
}

type profile struct {
	Name      string  `json:"name"`
	GoalTime  int64   `json:"goalTime"`
	Deadline  int64   `json:"deadline"`
	Worth     float64 `json:"worth"`
	LateShare float64 `json:"lateShare"`
}

type customer struct {
	Name          string  `json:"name"`
	AllowancePerS float64 `json:"allowancePerS"`
}

// Micros converts a number of microseconds to a duration.
func Micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// Parse parses the JSON text of the settings object.
func Parse(text []byte) (Info, error) {
	var in Info
	if err := json.Unmarshal(text, &in); err != nil {
		return in, fmt.Errorf("settings: %w", err)
	}
	return in, nil
}

// ShortestAim returns the shortest time within which a call of any class should stand, or 0 if there are no
// classes.
func (in Info) ShortestAim() (aim time.Duration) {
	for _, p := range in.Profiles {
		if d := Micros(p.GoalTime); aim == 0 || d < aim {
			aim = d
		}
	}
	return aim
}

// Policy converts the settings object to the settings of package policy.
func (in Info) Policy() policy.Settings {
	s := policy.Settings{
		Rank: in.Rank, Senders: in.Senders,
		OverAllowanceWorth: in.OverShare,
		RepeatInterval:     Micros(in.Domain.Repeat),
		BatchInterval:      Micros(in.Resolution),
		RedialsMarked:      in.Callers.MarksRetry, FullStatesWait: in.Domain.GivesWait,
		Limits: policy.Limits{MaxAttempts: in.Limits.MaxAttempts, AllowProbes: in.Limits.Probes,
			AllowCancel: in.Limits.Cancel},
		Rules: policy.Rules{
			RetryDelay: Micros(in.Domain.ClearWait),
			WarmUp:     Micros(in.Guarantees.Cold), ColdShare: in.Guarantees.ColdFrom,
			CollapseLoad: in.Guarantees.FallMultiple, LoadWindow: Micros(in.Guarantees.TipAfter),
		},
	}
	if in.Limits.RetryAfter {
		s.Limits.MaxRetryAfter = Micros(in.Limits.MaxRetryAfter)
	}
	switch in.Stats.How {
	case "piggyback":
		s.Reports = policy.WithAnswers
	case "pull":
		s.Reports = policy.WhenProbed
	}
	for i, p := range in.Profiles {
		c := policy.Class{Name: p.Name, Aim: Micros(p.GoalTime), Deadline: Micros(p.Deadline),
			Worth: p.Worth, LateShare: p.LateShare}
		if i < len(in.Domain.ClassHold) {
			c.Hold = Micros(in.Domain.ClassHold[i])
		}
		if i < len(in.Domain.PoolsByClass) {
			c.Pools = in.Domain.PoolsByClass[i]
		}
		if i < len(in.Domain.Widths) {
			c.LinesPerCall = in.Domain.Widths[i]
		}
		s.Classes = append(s.Classes, c)
	}
	for _, t := range in.Customers {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: t.Name, Allowance: t.AllowancePerS})
	}
	return s
}
