// Package plan manages the settings of the call-control API in plan-and-apply files: an operator's file has
// the desired settings, a state file the applied ones, and a plan what an apply would change. The daemon
// reads only the state.
package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"syscall"

	"github.com/BurntSushi/toml"
)

// Front are the settings of the call-control API.
type Front struct {
	Enabled        bool     `toml:"enabled" json:"enabled"`
	Listen         string   `toml:"listen" json:"listen"`
	Path           string   `toml:"path" json:"path"`
	Origins        []string `toml:"origins" json:"origins"`
	MaxConnections int      `toml:"max_connections" json:"max_connections"`
	MaxMessage     int      `toml:"max_message_bytes" json:"max_message_bytes"`
	IdleS          int      `toml:"idle_s" json:"idle_s"` // idle time in seconds after which a connection is closed
	Clients        []Client `toml:"client" json:"clients"`
}

// Client is a client that may connect. If no client is listed, all may connect.
type Client struct {
	Name        string `toml:"name" json:"name"`
	TokenSHA256 string `toml:"token_sha256" json:"token_sha256"`
}

// defaults returns the settings that an operator's file may omit.
func defaults() Front {
	return Front{Path: "/calls", MaxConnections: 64, MaxMessage: 64 << 10, IdleS: 30}
}

// Check returns an error that names the first invalid field.
func (f Front) Check() error {
	bad := func(field, format string, args ...any) error {
		return fmt.Errorf("field %s: %s", field, fmt.Sprintf(format, args...))
	}
	if !f.Enabled {
		return nil
	}
	host, _, err := net.SplitHostPort(f.Listen)
	switch {
	case err != nil:
		return bad("listen", "%v", err)
	case !strings.HasPrefix(f.Path, "/"):
		return bad("path", "%q does not begin with a slash", f.Path)
	case f.MaxConnections < 1 || f.MaxConnections > 256:
		return bad("max_connections", "%d is outside 1 to 256", f.MaxConnections)
	case f.MaxMessage < 1<<10 || f.MaxMessage > 1<<20:
		return bad("max_message_bytes", "%d is outside 1024 to 1048576", f.MaxMessage)
	case f.IdleS < 1 || f.IdleS > 3600:
		return bad("idle_s", "%d is outside 1 to 3600", f.IdleS)
	}
	if ip := net.ParseIP(host); len(f.Clients) == 0 && (ip == nil || !ip.IsLoopback()) {
		return bad("client", "none, which only a loopback address allows")
	}
	names := map[string]bool{}
	for i, c := range f.Clients {
		sum, err := hex.DecodeString(c.TokenSHA256)
		switch {
		case c.Name == "" || names[c.Name]:
			return bad(fmt.Sprintf("client[%d].name", i), "%q is empty or taken", c.Name)
		case err != nil || len(sum) != sha256.Size:
			return bad(fmt.Sprintf("client[%d].token_sha256", i), "not 64 hex digits")
		}
		names[c.Name] = true
	}
	return nil
}

// ReadDesired reads an operator's file. An unknown field is an error, because it is more likely misspelt than
// meant for a later version.
func ReadDesired(path string) (Front, error) {
	f := defaults()
	meta, err := toml.DecodeFile(path, &f)
	if err != nil {
		return f, fmt.Errorf("%s: %w", path, err)
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return f, fmt.Errorf("%s: field %s: unknown", path, extra[0])
	}
	if err := f.Check(); err != nil {
		return f, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// State has the applied settings.
type State struct {
	Version int    `json:"version"`
	Serial  int64  `json:"serial"` // number of applies
	Front   *Front `json:"websocket"`

	sum string // SHA-256 of the file's text in hex; "" if there is no file
}

const formatVersion = 1

// ReadState reads a state file. If it does not exist, the result is the state before the first apply, in
// which the API is off.
func ReadState(path string) (State, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return State{Version: formatVersion}, nil
	}
	if err != nil {
		return State{}, fmt.Errorf("state: %w", err)
	}
	var s State
	if err := json.Unmarshal(text, &s); err != nil {
		return s, fmt.Errorf("state %s: %w", path, err)
	}
	if s.Version != formatVersion {
		return s, fmt.Errorf("state %s: field version: %d is not %d", path, s.Version, formatVersion)
	}
	if s.Front != nil {
		if err := s.Front.Check(); err != nil {
			return s, fmt.Errorf("state %s: %w", path, err)
		}
	}
	sum := sha256.Sum256(text)
	s.sum = hex.EncodeToString(sum[:])
	return s, nil
}

// Plan is a change of the state that an operator can review and then apply.
type Plan struct {
	Version int      `json:"version"`
	State   string   `json:"state"`    // path of the state file to change
	BaseSum string   `json:"base_sum"` // State.sum of the state that the plan was made from
	Desired Front    `json:"desired"`
	Changes []string `json:"changes"` // as shown to the operator
}

// Make compares the desired settings with the applied ones.
func Make(statePath string, desired Front) (Plan, error) {
	s, err := ReadState(statePath)
	if err != nil {
		return Plan{}, err
	}
	if statePath, err = filepath.Abs(statePath); err != nil {
		return Plan{}, err
	}
	return Plan{formatVersion, statePath, s.sum, desired, diff(s.Front, &desired)}, nil
}

// diff describes the fields that differ: + added, ~ changed.
func diff(old, desired *Front) []string {
	var changes []string
	value := reflect.ValueOf(*desired)
	for i := range value.NumField() {
		name, v := value.Type().Field(i).Tag.Get("toml"), value.Field(i)
		if old == nil {
			changes = append(changes, fmt.Sprintf("+ %s = %s", name, displayText(v)))
			continue
		}
		former := reflect.ValueOf(*old).Field(i)
		if a, b := jsonText(former), jsonText(v); a != b { // compared in full, as only the beginning of a token's sum is shown
			changes = append(changes, fmt.Sprintf("~ %s = %s -> %s", name, displayText(former), displayText(v)))
		}
	}
	return changes
}

func jsonText(v reflect.Value) string {
	b, _ := json.Marshal(v.Interface())
	if string(b) == "null" {
		return "[]"
	}
	return string(b)
}

// displayText describes a value; clients by their names and the first digits of their tokens' sums.
func displayText(v reflect.Value) string {
	clients, ok := v.Interface().([]Client)
	if !ok {
		return jsonText(v)
	}
	var words []string
	for _, c := range clients {
		words = append(words, c.Name+":"+c.TokenSHA256[:min(8, len(c.TokenSHA256))])
	}
	slices.Sort(words)
	return "[" + strings.Join(words, " ") + "]"
}

// Write writes a plan to a file.
func (p Plan) Write(path string) error { return writeFile(path, p) }

// Read reads a plan from a file.
func Read(path string) (Plan, error) {
	var p Plan
	text, err := os.ReadFile(path)
	if err != nil {
		return p, fmt.Errorf("plan: %w", err)
	}
	if err := json.Unmarshal(text, &p); err != nil {
		return p, fmt.Errorf("plan %s: %w", path, err)
	}
	if p.Version != formatVersion || p.State == "" {
		return p, fmt.Errorf("plan %s: field version or state: not a plan of version %d", path, formatVersion)
	}
	if err := p.Desired.Check(); err != nil {
		return p, fmt.Errorf("plan %s: desired: %w", path, err)
	}
	return p, nil
}

// ErrStale means that the state has changed since the plan was made.
var ErrStale = errors.New("the plan is stale: the state has changed since; plan again")

// Apply writes the desired settings to the state file, or changes nothing. A lock file serializes concurrent
// applies, so that of two plans made from the same state the second is stale.
func (p Plan) Apply() error {
	lock, err := os.OpenFile(p.State+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	defer lock.Close()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		return fmt.Errorf("state %s: lock: %w", p.State, err)
	}
	s, err := ReadState(p.State)
	if err != nil {
		return err
	}
	if s.sum != p.BaseSum {
		return ErrStale
	}
	return writeFile(p.State, State{Version: formatVersion, Serial: s.Serial + 1, Front: &p.Desired})
}

// writeFile replaces a file atomically: a reader sees either the old text or the new.
func writeFile(path string, v any) (err error) {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			os.Remove(f.Name())
		}
	}()
	_, err = f.Write(append(text, '\n'))
	// The daemon may run as another user in the operator's group. Nobody else may read the tokens' sums.
	err = errors.Join(err, f.Chmod(0o640), f.Sync(), f.Close())
	if err != nil {
		return err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
