package routefile

import (
	"os"
	"path/filepath"
	"testing"

	"woodrouter/internal/routes"
)

// FuzzParse checks that the loader never panics, and that a table passes the check only if each route's
// limits keep the rules, which are computed here independently. The time-out `deadline` always keeps them,
// because the policy then ends the attempt within the usable deadline.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.yaml")
	for _, name := range files {
		if data, err := os.ReadFile(name); err == nil {
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		table, err := Parse("fuzz.yaml", data)
		if err != nil || len(routes.Check(table, corpusRules)) > 0 {
			return
		}
		for i, l := range append(table.Effective(), table.Defaults) {
			usable := corpusRules.Classes["group-lesson"].Deadline - corpusRules.AnswerSlack
			if l.Attempts < 1 || l.Attempts > corpusRules.MaxAttempts || l.Attempts > 1 && l.RetrySpacing < corpusRules.ClearWait ||
				l.AttemptTimeout <= 0 || l.AttemptTimeout != routes.UntilDeadline && l.Span() > usable || l.Hedge {
				t.Fatalf("lawful, but route %d has %+v", i, l)
			}
		}
	})
}
