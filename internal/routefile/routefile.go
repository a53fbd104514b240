// Package routefile reads the operators' file of per-route Limits, YAML as in
// deploy/routes.yaml, into a routes.Table. Unknown keys, wrong types, duplicate keys and
// duplicate route names are refused with file, line, column and field; whether the values
// are lawful is package routes' to prove.
package routefile

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"woodrouter/internal/routes"
	"woodrouter/internal/settings"
	"woodrouter/internal/yamlfile"
)

// Version is the form of the file this package reads.
const Version = 1

// MaxSize bounds a file: ten thousand routes fit in a fraction of it.
const MaxSize = 8 << 20

type file struct {
	Version  int     `yaml:"version"`
	Defaults Limits  `yaml:"defaults"`
	Routes   []route `yaml:"routes"`
}

type Limits struct {
	AttemptTimeout string  `yaml:"attempt_timeout"` // a Go duration, as 1500ms, or "deadline"; read after, to name the field
	Attempts       int     `yaml:"attempts"`
	RetrySpacing   string  `yaml:"retry_spacing"`
	DeadlineShare  float64 `yaml:"deadline_share"`
	Servers        *[]int  `yaml:"servers"` // nil: not given; empty: given and empty
	Hedge          bool    `yaml:"hedge"`
	RetryOnTimeout bool    `yaml:"retry_on_timeout"`
}

type route struct {
	Name   string `yaml:"name"`
	Match  match  `yaml:"match"`
	Limits `yaml:",inline"`
}

type match struct {
	Tenant string `yaml:"tenant"`
	Class  string `yaml:"class"`
	Prefix string `yaml:"prefix"`
}

// Error is a file that can't be read as routes: where, and what.
type Error struct {
	File         string
	Line, Column int
	Msg          string
}

func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Msg)
	}
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Msg)
}

// Load reads and parses a file.
func Load(path string) (*routes.Table, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data)
}

// Parse reads a file's text; name is only for messages.
func Parse(name string, data []byte) (*routes.Table, error) {
	if len(data) > MaxSize {
		return nil, &Error{File: name, Msg: fmt.Sprintf("%d bytes, more than %d", len(data), MaxSize)}
	}
	var f file
	if err := yamlfile.Decode(data, &f); err != nil {
		return nil, withPosition(name, data, err)
	}
	if f.Version != Version {
		return nil, &Error{File: name, Line: 1, Column: 1, Msg: fmt.Sprintf("field version: %d, this program reads %d", f.Version, Version)}
	}
	lines := routeLines(data, len(f.Routes))
	defaults, err := f.Defaults.parse()
	if err != nil {
		return nil, &Error{File: name, Line: lineOf(data, "defaults:"), Column: 1, Msg: "field defaults." + err.Error()}
	}
	t := &routes.Table{File: name, Defaults: defaults}
	seen := map[string]int{}
	for i, r := range f.Routes {
		if r.Name == "" {
			return nil, &Error{File: name, Line: lines[i], Column: 1, Msg: fmt.Sprintf("field routes[%d].name: a route needs a name", i)}
		}
		if at, dup := seen[r.Name]; dup {
			return nil, &Error{File: name, Line: lines[i], Column: 1, Msg: fmt.Sprintf("field routes[%d].name: %q is the name of the route at line %d too", i, r.Name, at)}
		}
		seen[r.Name] = lines[i]
		l, err := r.Limits.parse()
		if err != nil {
			return nil, &Error{File: name, Line: lines[i], Column: 1, Msg: fmt.Sprintf("field routes[%d].%v", i, err)}
		}
		t.Routes = append(t.Routes, routes.Route{Name: r.Name, Line: lines[i], Match: routes.Match(r.Match), Limits: l})
	}
	return t, nil
}

func (l Limits) parse() (routes.Limits, error) {
	out := routes.Limits{Attempts: l.Attempts, DeadlineShare: l.DeadlineShare, Hedge: l.Hedge, RetryOnTimeout: l.RetryOnTimeout}
	if l.Servers != nil {
		out.Servers = append([]int{}, *l.Servers...)
	}
	var err error
	for _, d := range []struct {
		key    string
		text   string
		target *time.Duration
	}{{"attempt_timeout", l.AttemptTimeout, &out.AttemptTimeout}, {"retry_spacing", l.RetrySpacing, &out.RetrySpacing}} {
		if d.text == "" {
			continue
		}
		if d.text == "deadline" && d.key == "attempt_timeout" {
			*d.target = routes.UntilDeadline
			continue
		}
		if *d.target, err = time.ParseDuration(d.text); err != nil {
			return out, fmt.Errorf("%s: %q is no duration (such as 1500ms or 2s)", d.key, d.text)
		}
	}
	return out, nil
}

// lineOf is the first line that begins with text; 0: none.
func lineOf(data []byte, text string) int {
	for i, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, text) {
			return i + 1
		}
	}
	return 0
}

// keyAt is the key of the value at a column of a YAML line, as in "    attempts: three" or
// "{name: a, attempts: three}", or else the line's only key; "" where there is none.
func keyAt(data []byte, line, column int) string {
	lines := strings.Split(string(data), "\n")
	if line < 1 || line > len(lines) {
		return ""
	}
	if text := lines[line-1]; column > 1 && column <= len(text)+1 {
		if before, ok := strings.CutSuffix(strings.TrimRight(text[:column-1], " "), ":"); ok {
			return before[strings.LastIndexAny(before, " {,-")+1:]
		}
	}
	key, _, ok := strings.Cut(strings.TrimLeft(lines[line-1], " -"), ":")
	if !ok || strings.ContainsAny(key, " {[") {
		return ""
	}
	return key
}

// withPosition turns the library's error into one with file, line and column.
func withPosition(name string, data []byte, err error) error {
	var y yaml.Error
	if errors.As(err, &y) && y.GetToken() != nil {
		p := y.GetToken().Position
		msg := y.GetMessage()
		if key := keyAt(data, p.Line, p.Column); key != "" && !strings.Contains(msg, `"`+key+`"`) {
			msg = "field " + key + ": " + msg
		}
		return &Error{File: name, Line: p.Line, Column: p.Column, Msg: msg}
	}
	return &Error{File: name, Msg: err.Error()}
}

// routeLines finds the line on which each route begins; 0 where it can't be told. It walks
// the tree once: a path query for each route would cost the square of their number.
func routeLines(data []byte, n int) []int {
	lines := make([]int, n)
	tree, err := parser.ParseBytes(data, 0)
	if err != nil || len(tree.Docs) == 0 {
		return lines
	}
	top, ok := tree.Docs[0].Body.(*ast.MappingNode)
	if !ok {
		return lines
	}
	for _, kv := range top.Values {
		seq, ok := kv.Value.(*ast.SequenceNode)
		if kv.Key.String() != "routes" || !ok {
			continue
		}
		for i, v := range seq.Values {
			if i < n && v.GetToken() != nil {
				lines[i] = v.GetToken().Position.Line
			}
		}
	}
	return lines
}

// Rules draws the standing rules from the settings object: classes with their deadlines and
// pools, tenants, the wait after a bad end, the answer's slack, the most attempts and whether
// attempts may be called off. Second copies are never allowed (the protocol loses a request
// on a second answer). servers is the list's pools and states, or nil where it is not known.
func Rules(in settings.Info, servers map[int]string) routes.Rules {
	r := routes.Rules{Classes: map[string]routes.ClassRule{}, ClearWait: settings.Micros(in.Domain.ClearWait),
		AnswerSlack: settings.Micros(in.Guarantees.AnswerSlack), MaxAttempts: in.Limits.MaxAttempts,
		Cancel: in.Limits.Cancel, Servers: servers}
	for i, p := range in.Profiles {
		c := routes.ClassRule{Deadline: settings.Micros(p.Deadline)}
		if i < len(in.Domain.PoolsByClass) && in.Domain.PoolsByClass[i] != nil {
			c.Pools = in.Domain.PoolsByClass[i]
		}
		r.Classes[p.Name] = c
	}
	for _, c := range in.Customers {
		r.Tenants = append(r.Tenants, c.Name)
	}
	return r
}
