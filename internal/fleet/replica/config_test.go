package replica

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestLoadConfig checks that the error for an unusable file names its field, and that the deploy
// folder's file is accepted.
func TestLoadConfig(t *testing.T) {
	good := "id: n1\nraft: 127.0.0.1:0\nclient: 127.0.0.1:0\ndata: d\n"
	cases := map[string]string{
		good:                "",
		good + "bogus: 1\n": "bogus",
		"id: n1\nraft: 127.0.0.1:0\nclient: x\ndata: d\n":   "field client",
		good + "bootstrap: [{id: n2, raft: a:1}]\n":         "not among them",
		good + "timing: {lease: 2s}\n":                      "field timing.lease",
		good + "timing: {heartbeat: soon}\n":                "field timing.heartbeat",
		"raft: 127.0.0.1:0\nclient: 127.0.0.1:0\ndata: d\n": "field id",
	}
	for text, want := range cases {
		path := filepath.Join(t.TempDir(), "m.yaml")
		os.WriteFile(path, []byte(text), 0o600)
		_, err := LoadConfig(path)
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	if _, err := LoadConfig("../../../deploy/replica.yaml"); err != nil {
		t.Errorf("deploy file: %v", err)
	}
}
