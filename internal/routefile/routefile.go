// Package routefile reads the operators' file of per-route limits, a YAML file like deploy/routes.yaml, into
// a routes.Table. Unknown keys, wrong types, duplicate keys and duplicate route names are refused with file,
// line, column and field. Package routes checks the values.
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

// Version is the version of the file format that this package reads.
const Version = 1

// MaxSize limits the size of a file in bytes. Ten thousand routes take only a fraction of it.
const MaxSize = 8 << 20

type file struct {
	Version  int     `yaml:"version"`
	Defaults Limits  `yaml:"defaults"`
	Routes   []route `yaml:"routes"`
}

// Limits are routes.Limits as written in the file.
type Limits struct {
	AttemptTimeout string  `yaml:"attempt_timeout"` // a Go duration such as 1500ms, or "deadline"; parsed later, so that an error names the field
	Attempts       int     `yaml:"attempts"`
	RetrySpacing   string  `yaml:"retry_spacing"`
	DeadlineShare  float64 `yaml:"deadline_share"`
	Servers        *[]int  `yaml:"servers"` // nil: not given
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

// Error is an error at a place of a file. Line is 0 if the place is not known.
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

// Parse parses the text of a file; name is the file's name in messages.
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

// lineOf returns the number of the first line that begins with text; 0 if there is none.
func lineOf(data []byte, text string) int {
	for i, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, text) {
			return i + 1
		}
	}
	return 0
}

// keyAt returns the key of the value at a column of a YAML line, as in "    attempts: three" or
// "{name: a, attempts: three}", or else the line's only key; "" if there is none.
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

// withPosition turns an error of the YAML library into one with file, line and column.
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

// routeLines returns the first line of each of n routes; 0 if it is not known. It walks the syntax tree once:
// a path query per route would take quadratic time.
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

// Rules takes the rules for routes from the settings: classes with their deadlines and pools, tenants, the
// wait after a failed attempt, the answer's slack, the most attempts and whether attempts may be given up.
// Second copies are never allowed, because the protocol loses a request on a second answer. servers has the
// listed pools and their states; nil if the list is not known.
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
