package plan

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func write(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const on = "enabled = true\nlisten = \"127.0.0.1:0\"\n"

var sum = strings.Repeat("ab", 32)

func TestReadDesired(t *testing.T) {
	for _, tc := range []struct{ name, in, bad string }{
		{"least", on, ""},
		{"off", "enabled = false", ""},
		{"clients", on + "[[client]]\nname = \"a\"\ntoken_sha256 = \"" + sum + "\"", ""},
		{"open to the network", "enabled = true\nlisten = \"10.0.0.1:1\"", "client"},
		{"open to all", "enabled = true\nlisten = \":1\"", "client"},
		{"no listen", "enabled = true", "listen"},
		{"path", on + "path = \"calls\"", "path"},
		{"connections", on + "max_connections = 1000", "max_connections"},
		{"message", on + "max_message_bytes = 1", "max_message_bytes"},
		{"idle", on + "idle_s = 0", "idle_s"},
		{"misspelt", on + "max_conections = 3", "max_conections"},
		{"nameless", on + "[[client]]\ntoken_sha256 = \"" + sum + "\"", "client[0].name"},
		{"token in clear", on + "[[client]]\nname = \"a\"\ntoken_sha256 = \"secret\"", "client[0].token_sha256"},
		{"wrong type", "enabled = 3", "enabled"},
		{"not TOML", "enabled", "line 1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := ReadDesired(write(t, "f.toml", tc.in))
			if tc.bad == "" {
				require.NoError(t, err)
			} else {
				require.ErrorContains(t, err, tc.bad)
			}
		})
	}
	_, err := ReadDesired(filepath.Join("..", "..", "deploy", "websocket.toml"))
	require.NoError(t, err, "the example file for operators")
}

// TestPlanAndApply checks a state through its changes: none, applied, changed, and a plan made stale by
// another apply.
func TestPlanAndApply(t *testing.T) {
	dir := t.TempDir()
	state, file := filepath.Join(dir, "state.json"), filepath.Join(dir, "api.plan")
	planned := func(toml string) Plan {
		f, err := ReadDesired(write(t, "f.toml", toml))
		require.NoError(t, err)
		p, err := Make(state, f)
		require.NoError(t, err)
		require.NoError(t, p.Write(file))
		p, err = Read(file)
		require.NoError(t, err)
		return p
	}
	s, err := ReadState(state)
	require.NoError(t, err)
	require.Nil(t, s.Front, "without a state file the API is off")

	first, second := planned(on), planned(on+"idle_s = 5")
	assert.Contains(t, first.Changes, "+ enabled = true")
	require.NoError(t, first.Apply())
	require.ErrorIs(t, second.Apply(), ErrStale)
	require.ErrorIs(t, first.Apply(), ErrStale, "a plan can't be applied twice")
	s, err = ReadState(state)
	require.NoError(t, err)
	assert.True(t, s.Front.Enabled)
	assert.Equal(t, 30, s.Front.IdleS)
	assert.Empty(t, planned(on).Changes)

	p := planned(on + "idle_s = 5\n[[client]]\nname = \"a\"\ntoken_sha256 = \"" + sum + "\"")
	assert.Equal(t, []string{"~ idle_s = 30 -> 5", "~ client = [] -> [a:abababab]"}, p.Changes)
	require.NoError(t, p.Apply())
	other := strings.Repeat("ab", 31) + "cd"
	assert.Len(t, planned(on+"idle_s = 5\n[[client]]\nname = \"a\"\ntoken_sha256 = \""+other+"\"").Changes, 1,
		"token sums with the same beginning differ")
	left, err := filepath.Glob(filepath.Join(dir, "*.*.*"))
	require.NoError(t, err)
	assert.Equal(t, []string{state + ".lock"}, left, "no temporary file is left")
}

func TestBadFiles(t *testing.T) {
	for name, in := range map[string]string{"not JSON": "{", "other version": `{"version":9}`,
		"bad field": `{"version":1,"websocket":{"enabled":true}}`} {
		_, err := ReadState(write(t, "s.json", in))
		assert.Error(t, err, name)
		_, err = Read(write(t, "p.json", in))
		assert.Error(t, err, name)
	}
}
