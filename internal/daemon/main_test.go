package daemon

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/internal/standin"
)

// TestProgram checks the commands of Main, their exit codes, and what their output and errors name. (A test
// named TestMain would replace the testing package's main function.)
func TestProgram(t *testing.T) {
	dir := t.TempDir()
	state, file := filepath.Join(dir, "state.json"), filepath.Join(dir, "api.plan")
	good, bad := filepath.Join(dir, "good.toml"), filepath.Join(dir, "bad.toml")
	require.NoError(t, os.WriteFile(good, []byte("enabled = true\nlisten = \"127.0.0.1:0\"\n"), 0o600))
	require.NoError(t, os.WriteFile(bad, []byte("enabled = true\n"), 0o600))
	config := filepath.Join(dir, "config.json")
	require.NoError(t, os.WriteFile(config, []byte(`{"listen":"nowhere"}`), 0o600))
	site, lawful, unlawful := filepath.Join(dir, "site.json"), filepath.Join(dir, "routes.yaml"), filepath.Join(dir, "bad.yaml")
	require.NoError(t, os.WriteFile(site, testConfigText(t, standin.NewBulletin(t)), 0o600))
	limits := "version: 1\ndefaults: {attempt_timeout: 1500ms, attempts: 3, retry_spacing: 300ms, deadline_share: 1}\n"
	require.NoError(t, os.WriteFile(lawful, []byte(limits+"routes:\n  - {name: exams, match: {prefix: 7f}, attempts: 2}\n"), 0o600))
	require.NoError(t, os.WriteFile(unlawful, []byte(limits+"routes:\n  - {name: eager, match: {}, retry_spacing: 100ms}\n"), 0o600))
	listed, drained := filepath.Join(dir, "listed.json"), filepath.Join(dir, "drained.yaml")
	require.NoError(t, os.WriteFile(listed, testConfigText(t, standin.NewBulletin(t, standin.Endpoint("s0", "127.0.0.1:1", 0, "up"),
		standin.Endpoint("s1", "127.0.0.1:2", 1, "draining"))), 0o600))
	require.NoError(t, os.WriteFile(drained, []byte(limits+"routes:\n  - {name: second, match: {}, servers: [1]}\n"), 0o600))
	promises, agents, spares := "../../deploy/promises.yaml", filepath.Join(dir, "agents.yaml"), filepath.Join(dir, "spares.yaml")
	require.NoError(t, os.WriteFile(agents, []byte(`[{id: a, zone: z1, raft: "r:1", client: "127.0.0.1:1"}, {id: b, zone: z2, raft: "r:2", client: "127.0.0.1:1"},
		{id: c, zone: z1, raft: "r:3", client: "127.0.0.1:1"}, {id: d, zone: z3, raft: "r:4", client: "127.0.0.1:1"}]`), 0o600))
	require.NoError(t, os.WriteFile(spares, []byte(`[{id: a9, zone: z1, raft: "r:9", client: "127.0.0.1:1"}]`), 0o600))
	group := func(id, a, b, c string) string {
		m := func(n string) string { return "{id: " + n + ", zone: " + n + ", raft: 'r:1', client: 'c:1'}" }
		return "{id: " + id + ", members: [" + m(a) + ", " + m(b) + ", " + m(c) + "]}"
	}
	moving, foreign := filepath.Join(dir, "moving.yaml"), filepath.Join(dir, "foreign.yaml")
	require.NoError(t, os.WriteFile(foreign, []byte("version: 1\n"), 0o600)) // one unknown key, as the library names any of several
	require.NoError(t, os.WriteFile(moving, []byte("ring: {version: 2, groups: ["+group("g1", "a", "b", "c")+", "+group("g2", "d", "e", "f")+"]}\n"+
		"previous: {version: 1, groups: ["+group("g1", "a", "b", "c")+"]}\n"), 0o600))
	for _, tc := range []struct {
		args []string
		code int
		out  string
		errs string
	}{
		{[]string{"plan", "--state", state, "--out", file, good}, exitChanges, "+ enabled = true", ""},
		{[]string{"apply", file}, exitOK, "applied", ""},
		{[]string{"apply", file}, exitError, "", "stale"},
		{[]string{"plan", "--state", state, "--out", file, good}, exitOK, "no changes", ""},
		{[]string{"plan", "--state", state, "--out", file, bad}, exitError, "", "field listen"},
		{[]string{"plan", "--state", state, good}, exitError, "", "--out"},
		{[]string{"plan", "--state", config, "--out", file, good}, exitError, "", "version"},
		{[]string{"apply", bad}, exitError, "", "plan"},
		{[]string{"apply"}, exitError, "", "expected \"<plan>\""},
		{[]string{"help"}, exitError, "", "unexpected argument"},
		{nil, exitError, "", "field listen"},
		{[]string{"check", "--config", site, lawful}, exitOK, "1 routes, lawful", ""},
		{[]string{"check", "--config", site, unlawful}, exitError, `route "eager": retry_spacing 100ms`, "1 refusals"},
		{[]string{"check", lawful}, exitError, "", "field listen"},
		{[]string{"check", "--config", listed, drained}, exitError, "every server of [1] is draining or removed", ""},
		{[]string{"check", "--config", site, drained}, exitOK, "lawful", ""},
		{[]string{"routes", "--config", site, "--class", "voice", "--number", "7f00000000000001", lawful}, exitOK, "route exams (line 4): attempt_timeout 1.5s, attempts 2", ""},
		{[]string{"routes", "--config", site, "--class", "voice", "--number", "0100000000000001", lawful}, exitOK, "route defaults: attempt_timeout 1.5s, attempts 3", ""},
		{[]string{"promises", "check", promises}, exitOK, "ring 1 of 1 groups, lawful", ""},
		{[]string{"promises", "check", moving}, exitOK, "replaces ring 1 of 1 groups; about 50 % of calls move", ""},
		{[]string{"promises", "check", foreign}, exitError, "", `[1:1] unknown field "version"`},
		{[]string{"promises", "place", agents}, exitOK, "left over, keeps nothing for others: c (z1)", ""},
		{[]string{"promises", "place", "--size", "4", agents}, exitError, "", "--size"},
		{[]string{"promises", "mend", "--gone", "a1", "--spares", spares, promises}, exitOK, "group g1: add a9 (z1, r:9)", ""},
		{[]string{"promises", "mend", "--gone", "a1,a2", "--spares", spares, promises}, exitError, "", "lost their majority"},
		{[]string{"promises", "fence", promises}, exitError, "", "field previous"},
		{[]string{"promises", "join", "--group", "g1", "--id", "x", promises}, exitError, "", "--raft"},
		{[]string{"promises", "remove", "--group", "g7", "--id", "x", promises}, exitError, "", `no group "g7"`},
		{[]string{"run", "--log-level", "loud"}, exitError, "", "--log-level"},
	} {
		var out, errs bytes.Buffer
		env := func(name string) string { return map[string]string{"PROXY_CONFIG": config}[name] }
		assert.Equal(t, tc.code, Main(tc.args, env, &out, &errs), "%v: %s", tc.args, &errs)
		assert.Contains(t, out.String(), tc.out, "%v", tc.args)
		assert.Contains(t, errs.String(), tc.errs, "%v", tc.args)
	}
}
