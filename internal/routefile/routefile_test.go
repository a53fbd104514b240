package routefile

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"woodrouter/internal/routes"
)

const ms = time.Millisecond

// corpusRules are the rules that the files of testdata are checked against.
var corpusRules = routes.Rules{
	Classes: map[string]routes.ClassRule{
		"private-lesson": {Deadline: 9 * time.Second, Pools: []int{0, 1, 2}},
		"group-lesson":   {Deadline: 9 * time.Second},
	},
	Tenants:   []string{"east-gate-english", "harbour-japanese", "hillside-hakka"},
	ClearWait: 300 * ms, AnswerSlack: 50 * ms, MaxAttempts: 5, Cancel: true,
	Servers: map[int]string{0: "up", 1: "up", 2: "draining", 3: "removed", 4: "up"},
}

// TestCorpus checks every file of testdata. Its first line has the expected result: "lawful", the rules it
// breaks, or "parse" and a word that the parse error must contain. Each refusal must begin with the file's
// name.
func TestCorpus(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.yaml")
	if len(files) < 30 {
		t.Fatalf("%d files in the corpus", len(files))
	}
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		first, _, _ := strings.Cut(string(data), "\n")
		want := strings.TrimPrefix(first, "# want: ")
		table, err := Parse(name, data)
		if word, parse := strings.CutPrefix(want, "parse "); parse {
			if err == nil || !strings.Contains(err.Error(), strings.Trim(word, `"`)) || !strings.HasPrefix(err.Error(), name) {
				t.Errorf("%s: want a parse error naming %s, got %v", name, word, err)
			}
			continue
		}
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		var got []string
		for _, r := range routes.Check(table, corpusRules) {
			got = append(got, r.Rule)
			if !strings.HasPrefix(r.String(), name+":") {
				t.Errorf("%s: refusal without its file: %s", name, r)
			}
		}
		if want == "lawful" {
			if len(got) > 0 {
				t.Errorf("%s: lawful, but refused: %v", name, routes.Check(table, corpusRules))
			}
			continue
		}
		for _, rule := range strings.Fields(want) {
			if !slices.Contains(got, rule) {
				t.Errorf("%s: want rule %s, got %v", name, rule, got)
			}
		}
	}
}

// TestLines checks that each route has the number of its first line.
func TestLines(t *testing.T) {
	table, err := Load("testdata/lawful-full.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var lines []int
	for _, r := range table.Routes {
		lines = append(lines, r.Line)
	}
	if !slices.Equal(lines, []int{9, 14, 17}) {
		t.Errorf("lines %v", lines)
	}
}
