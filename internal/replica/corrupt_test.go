package replica

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestCorruptData: a member whose log store is not one does not start; the error names the
// file, which is left as it was.
func TestCorruptData(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "raft.db")
	junk := []byte("not a bolt file, but long enough to be read as one's header....")
	os.WriteFile(path, junk, 0o600)
	_, err := Open(Config{ID: "n1", Raft: "127.0.0.1:0", Client: "127.0.0.1:0", Data: dir}, slog.New(slog.DiscardHandler))
	kept, _ := os.ReadFile(path)
	if err == nil || !strings.Contains(fmt.Sprint(err), "raft.db") || !bytes.Equal(kept, junk) {
		t.Fatalf("%v; file kept: %v", err, bytes.Equal(kept, junk))
	}
}
