// Package citest tests the script with which CI runs the tests.
package citest

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestKnownRed checks that CI tolerates failures of exactly the tests in KNOWN-RED.txt and reports their
// results, and that it refuses a file with too many lines, with a malformed line, or with a name that is not
// a test's.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("../../.ci/test")
	require.NoError(t, err)
	const line = "TestRed | it fails here | #1\n"
	for _, tc := range []struct {
		name, file string
		ok         bool
		says       string
	}{
		{"no file", "", false, "--- FAIL: TestRed"},
		{"named", line, true, "known red: TestRed | it fails here | #1: fails"},
		{"it passes by now", "TestGreen | it failed | #1\n" + line, true, "known red: TestGreen | it failed | #1: passes"},
		{"the wrong one", "TestGreen | it failed | #1\n", false, "--- FAIL: TestRed"},
		{"no such test", "TestRe | it fails here | #1\n", false, "no test is named TestRe"},
		{"no cause", "TestRed |  | #1\n", false, "malformed line"},
		{"no issue", "TestRed | it fails here\n", false, "malformed line"},
		{"a pattern", "Test.* | all of them | #1\n", false, "malformed line"},
		{"too many", line + line + line + line, false, "4 lines, three at most"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			dir := t.TempDir()
			for name, text := range map[string]string{
				"go.mod":        "module red\n\ngo 1.24\n",
				"red_test.go":   "package red\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Fatal() }\n\nfunc TestGreen(t *testing.T) {}\n\nfunc TestRedder(t *testing.T) {}\n",
				"KNOWN-RED.txt": tc.file,
			} {
				require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
			}
			cmd := exec.Command("bash", script, "./...")
			cmd.Dir = dir
			out, err := cmd.CombinedOutput()
			assert.Equal(t, tc.ok, err == nil, string(out))
			assert.Contains(t, string(out), tc.says)
		})
	}
}
