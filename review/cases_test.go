// Package review holds the cases of the independent review. Its test starts their scripts, and only when it is asked to.
package review

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestReviewCases plays every case: WOODROUTER_REVIEW=1 go test -run TestReviewCases ./review, after the build of the
// deploy file and review/build.sh.
func TestReviewCases(t *testing.T) {
	if os.Getenv("WOODROUTER_REVIEW") == "" {
		t.Skip("the cases are played only if WOODROUTER_REVIEW is set")
	}
	scripts, err := filepath.Glob("[0-9]*/run.sh")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no cases found: %v", err)
	}
	for _, script := range scripts {
		t.Run(filepath.Dir(script), func(t *testing.T) {
			out, err := exec.Command("bash", script).CombinedOutput()
			t.Logf("%s", out)
			if err != nil {
				t.Errorf("%s: %v", script, err)
			}
		})
	}
}
