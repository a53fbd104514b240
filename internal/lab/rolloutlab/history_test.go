package rolloutlab

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"woodrouter/rollout"
)

// TestHistoryViolations: a history as it should be breaks nothing, and each fault put into it is found.
func TestHistoryViolations(t *testing.T) {
	const doc, sec = "routes@all", time.Second
	name, err := rollout.ParseName(doc)
	require.NoError(t, err)
	put := func(base, revision uint64, author, text string, at time.Duration, o Outcome) Put {
		return Put{Name: doc, Base: base, Author: author, Text: text, CalledAt: at, AnsweredAt: at + sec, Outcome: o, Revision: revision}
	}
	rev := func(n, base uint64, author, text string) rollout.Revision {
		return rollout.Revision{Document: rollout.Document{Name: name, Revision: n, Text: []byte(text)}, Base: base, Author: author, Stage: rollout.StageEverywhere}
	}
	has := func(agent string, n uint64, text string, at time.Duration) Observation {
		return Observation{Agent: agent, Kind: "routes", Name: doc, Revision: n, Sum: textSum(text, false), At: at}
	}
	good := func() *History {
		h := NewHistory([]rollout.Agent{{Name: "a"}, {Name: "b"}})
		h.RecordPut(put(0, 5, "ann", "one", 0, Committed))
		h.RecordPut(put(5, 8, "ann", "two", 10*sec, Committed))
		h.RecordPut(put(5, 0, "bob", "three", 10*sec, Conflict))
		h.RecordRevisions("c1", []rollout.Revision{rev(5, 0, "ann", "one"), rev(8, 5, "ann", "two")})
		for _, agent := range []string{"a", "b"} {
			h.RecordObservation(has(agent, 5, "one", 2*sec))
			h.RecordObservation(has(agent, 8, "two", 12*sec))
		}
		h.endedAt = 60 * sec
		return h
	}
	require.Empty(t, good().Violations())
	cases := map[string]struct {
		spoil func(*History)
		want  string
	}{
		"an agent goes back":                     {func(h *History) { h.RecordObservation(has("a", 5, "one", 13*sec)) }, "a has routes@all 5 in force at 13s, after 8"},
		"two texts under one number at agents":   {func(h *History) { h.RecordObservation(has("a", 8, "other", 13*sec)) }, "revision 8 is routes@all"},
		"two texts under one number at machines": {func(h *History) { h.RecordRevisions("c2", []rollout.Revision{rev(5, 0, "ann", "uno")}) }, "revision 5 is routes@all"},
		"a number of two authors":                {func(h *History) { h.RecordRevisions("c2", []rollout.Revision{rev(5, 0, "eve", "one")}) }, "at c2 base 0 by eve"},
		"two stand on one base":                  {func(h *History) { h.RecordPut(put(5, 9, "bob", "four", 10*sec, Committed)) }, "two puts on base 5 stand"},
		"one came between": {func(h *History) {
			h.RecordRevisions("c1", []rollout.Revision{rev(7, 5, "bob", "four")})
		}, "though 7 came between"},
		"a promise forgotten": {func(h *History) { h.RecordPut(put(8, 11, "bob", "four", 20*sec, Committed)) }, "is in no machine's log"},
		"a promise changed": {func(h *History) {
			h.RecordPut(put(8, 11, "bob", "four", 20*sec, Committed))
			h.RecordRevisions("c1", []rollout.Revision{rev(11, 8, "eve", "four")})
		}, "is another in the log"},
		"told of a conflict, and stands": {func(h *History) {
			h.RecordRevisions("c1", []rollout.Revision{rev(9, 8, "bob", "three")})
		}, "was told conflict, and stands as 9"},
		"written by nobody": {func(h *History) { h.RecordRevisions("c1", []rollout.Revision{rev(9, 8, "bob", "five")}) }, "nobody wrote 9"},
		"one put twice": {func(h *History) {
			h.RecordRevisions("c1", []rollout.Revision{rev(9, 8, "ann", "two")})
		}, "one put stands twice"},
		"numbers against time": {func(h *History) { h.RecordPut(put(1, 3, "bob", "four", 20*sec, Committed)) }, "5 was told before 3 was called"},
		"a conflict with nobody": {func(h *History) {
			h.RecordPut(put(8, 0, "bob", "six", 20*sec, Conflict))
		}, "a conflict with nobody"},
		"an agent is left out": {func(h *History) { h.observations["b"] = h.observations["b"][:1] }, "8 (told at 11s) was due at b by 20s and came never"},
		"an agent is late":     {func(h *History) { h.observations["b"][1].At = 21 * sec }, "came after 10s"},
		"late after it was reached": {func(h *History) {
			h.observations["b"][1].At = 45 * sec
			h.absences["b"] = []absence{{9 * sec, 30 * sec}}
		}, "due at b by 39s"},
		"a refusal of another text": {func(h *History) {
			h.observations["b"][1] = Observation{Agent: "b", Kind: "routes", Sum: 7, Refused: true, At: 12 * sec}
		}, "due at b"},
		"a restored text comes late": {func(h *History) {
			bad, back := rev(11, 8, "bob", "bad"), rev(12, 11, rollout.AuthorRollout, "two")
			bad.Stage, back.Restores, back.AtUs = rollout.StageHalted, 8, h.startedAt.Add(22*sec).UnixMicro()
			h.RecordPut(put(8, 11, "bob", "bad", 20*sec, Committed))
			h.RecordRevisions("c1", []rollout.Revision{bad, back})
			h.RecordObservation(has("a", 12, "two", 23*sec))
			h.RecordObservation(has("b", 12, "two", 33*sec))
		}, "12 (told at 22s) was due at b by 31s and came after 11s"},
		"an agent drops a document": {func(h *History) { h.RecordObservation(Observation{Agent: "a", Kind: "routes", At: 13 * sec}) }, "a has its own file 0 in force at 13s, after routes@all 8"},
		"a removal not kept":        {withRemoval(50 * sec), "due at a by 40s and came after"},
		"an agent forgets what it acknowledged": {func(h *History) {
			h.RecordAcknowledged("a", map[string]uint64{doc: 8})
			h.RecordAcknowledged("a", map[string]uint64{doc: 5})
		}, "a acknowledges routes@all 5, and had acknowledged 8"},
		"an agent goes back, in one": {func(h *History) { h.RecordObservation(has("b", 6, "zero", 13*sec)) }, "b has routes@all 6"},
	}
	for what, c := range cases {
		h := good()
		c.spoil(h)
		require.Contains(t, strings.Join(h.Violations(), "\n"), c.want, what)
	}
	fine := map[string]func(*History){
		"out of reach all the time": func(h *History) { h.observations["b"] = nil; h.absences["b"] = []absence{{0, forever}} },
		"reached later": func(h *History) {
			h.observations["b"][1].At = 38 * sec
			h.absences["b"] = []absence{{9 * sec, 30 * sec}}
		},
		"refused": func(h *History) {
			h.observations["b"][1] = Observation{Agent: "b", Kind: "routes", Sum: textSum("two", false), Refused: true, At: 12 * sec}
		},
		"not told, and stands": func(h *History) {
			h.RecordPut(put(8, 0, "bob", "seven", 20*sec, Unknown))
			h.RecordRevisions("c1", []rollout.Revision{rev(9, 8, "bob", "seven")})
		},
		"not told, and does not": func(h *History) { h.RecordPut(put(8, 0, "bob", "seven", 20*sec, Unknown)) },
		"halted, and restored": func(h *History) {
			h.RecordPut(put(8, 11, "bob", "bad", 20*sec, Committed))
			bad, back := rev(11, 8, "bob", "bad"), rev(12, 11, rollout.AuthorRollout, "two")
			bad.Stage, back.Restores, back.AtUs = rollout.StageHalted, 8, h.startedAt.Add(22*sec).UnixMicro()
			h.RecordRevisions("c1", []rollout.Revision{bad, back})
			h.RecordObservation(has("a", 11, "bad", 21*sec))
			h.RecordObservation(has("a", 12, "two", 23*sec))
			h.RecordObservation(has("b", 12, "two", 23*sec))
		},
		"one that waited behind a halted one": func(h *History) {
			h.RecordPut(put(8, 11, "bob", "bad", 20*sec, Committed))
			h.RecordPut(put(11, 12, "ann", "next", 20*sec, Committed))
			bad, waited, back, began := rev(11, 8, "bob", "bad"), rev(12, 11, "ann", "next"), rev(13, 11, rollout.AuthorRollout, "two"), rev(14, 11, "ann", "next")
			bad.Stage, waited.Stage, back.Stage = rollout.StageHalted, rollout.StageSuperseded, rollout.StageSuperseded
			back.Restores, back.AtUs, began.Restores = 8, h.startedAt.Add(22*sec).UnixMicro(), 12
			h.RecordRevisions("c1", []rollout.Revision{bad, waited, back, began})
			for _, agent := range []string{"a", "b"} {
				h.RecordObservation(has(agent, 13, "two", 23*sec))
				h.RecordObservation(has(agent, 14, "next", 25*sec))
			}
		},
		"removed": withRemoval(33 * sec),
	}
	for what, change := range fine {
		h := good()
		change(h)
		require.Empty(t, h.Violations(), what)
	}
}

// withRemoval takes the document away; the agents are back at their own file then.
func withRemoval(at time.Duration) func(*History) {
	return func(h *History) {
		name := rollout.Name{Kind: "routes", Scope: rollout.Scope{Level: rollout.LevelAll}}
		h.RecordPut(Put{Name: name.String(), Base: 8, Author: "ann", Remove: true, CalledAt: 30 * time.Second, AnsweredAt: 31 * time.Second, Outcome: Committed, Revision: 20})
		h.RecordRevisions("c1", []rollout.Revision{{Document: rollout.Document{Name: name, Revision: 20, Removed: true}, Base: 8, Author: "ann", Stage: rollout.StageEverywhere}})
		for _, agent := range []string{"a", "b"} {
			h.RecordObservation(Observation{Agent: agent, Kind: "routes", At: at})
		}
	}
}
