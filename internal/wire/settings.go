package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"dahliayoke/policy"
)

// info is the part of the settings object that the module needs; other keys are skipped.
type info struct {
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
		MaxAttempts   int   `json:"maxAttempts"`
		MaxRetryAfter int64 `json:"maxRetryAfter"`
		RetryAfter    bool  `json:"retryAfter"`
		Probes        bool  `json:"probes"`
		Cancel        bool  `json:"cancel"`
	} `json:"limits"`
	Guarantees struct {
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
	} `json:"domain"`
	Discovery string `json:"discovery"`
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

// micros turns a number of microseconds into a duration.
func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func parseInfo(text string) (info, error) {
	var in info
	if err := json.Unmarshal([]byte(text), &in); err != nil {
		return in, fmt.Errorf("field info: %w", err)
	}
	return in, nil
}

// settings words the settings object in the module's terms.
func (in info) settings() policy.Settings {
	s := policy.Settings{
		Rank: in.Rank, Senders: in.Senders,
		OverUse: in.OverShare,
		Repeat:  micros(in.Domain.Repeat),
		Tick:    micros(in.Resolution),
		Marked:  in.Callers.MarksRetry, TellWait: in.Domain.GivesWait,
		Limits: policy.Limits{Attempts: in.Limits.MaxAttempts, Probes: in.Limits.Probes,
			Cancel: in.Limits.Cancel},
		Rules: policy.Rules{
			ClearWait: micros(in.Domain.ClearWait),
			Cold:      micros(in.Guarantees.Cold), ColdFrom: in.Guarantees.ColdFrom,
			FallMultiple: in.Guarantees.FallMultiple, TipAfter: micros(in.Guarantees.TipAfter),
		},
	}
	if in.Limits.RetryAfter {
		s.Limits.CoolDown = micros(in.Limits.MaxRetryAfter)
	}
	switch in.Stats.How {
	case "piggyback":
		s.Reports = policy.WithAnswers
	case "pull":
		s.Reports = policy.WhenProbed
	}
	for i, p := range in.Profiles {
		c := policy.Class{Name: p.Name, Aim: micros(p.GoalTime), Deadline: micros(p.Deadline),
			Worth: p.Worth, LateShare: p.LateShare}
		if i < len(in.Domain.ClassHold) {
			c.Hold = micros(in.Domain.ClassHold[i])
		}
		if i < len(in.Domain.PoolsByClass) {
			c.Pools = in.Domain.PoolsByClass[i]
		}
		s.Classes = append(s.Classes, c)
	}
	for _, t := range in.Customers {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: t.Name, Allowance: t.AllowancePerS})
	}
	return s
}
