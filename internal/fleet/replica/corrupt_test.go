package replica

import (
	"bytes"
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"woodrouter/promise"
)

// openMember opens a group of one in a directory, and a client of it.
func openMember(t *testing.T, dir string) (*Node, *Client, func()) {
	n, err := Open(Config{ID: "n1", Raft: "127.0.0.1:0", Client: "127.0.0.1:0", Data: dir}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	ln, err := n.Serve()
	require.NoError(t, err)
	c := NewClient(map[string]string{"n1": ln.Addr().String()})
	return n, c, func() { c.Close(); ln.Close(); n.Close() }
}

// bootstrapAlone makes it a group.
func bootstrapAlone(t *testing.T, n *Node) {
	one := raft.Configuration{Servers: []raft.Server{{ID: "n1", Address: n.Transport.LocalAddr()}}}
	require.NoError(t, n.Raft.BootstrapCluster(one).Error())
}

func propose(t *testing.T, c *Client, call string) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err := c.ProposeWithRetry(ctx, promise.Entry{Op: promise.OpResolve, Call: call, Answer: promise.AnswerFailed})
	require.NoError(t, err)
}

// TestMalformedInput: what no member or agent would send ends its own connection and nothing else, at
// the log's address as at the callers'.
func TestMalformedInput(t *testing.T) {
	n, c, end := openMember(t, t.TempDir())
	defer end()
	bootstrapAlone(t, n)
	propose(t, c, "before")
	rng := rand.New(rand.NewPCG(5, 5))
	for _, addr := range []string{string(n.Transport.LocalAddr()), c.Address("n1")} {
		for i := range 40 {
			conn, err := net.Dial("tcp", addr)
			require.NoError(t, err)
			junk := make([]byte, 1+rng.IntN(300))
			for j := range junk {
				junk[j] = byte(rng.Uint32())
			}
			junk[0] = byte(i % 8) // the kinds of message that raft's transport knows, and some that it does not
			conn.Write(junk)
			conn.Close()
		}
	}
	propose(t, c, "after")
}

// TestCorruptData: a member whose log store or snapshots are spoilt does not start; the error
// names the file or directory, and what is there stays as it was.
func TestCorruptData(t *testing.T) {
	dir := t.TempDir()
	n, c, end := openMember(t, dir)
	bootstrapAlone(t, n)
	propose(t, c, "kept")
	require.NoError(t, n.Raft.Snapshot().Error())
	end()
	snaps, err := filepath.Glob(filepath.Join(dir, "snapshots", "*", "state.bin"))
	require.NoError(t, err)
	require.Len(t, snaps, 1)
	for path, names := range map[string]string{snaps[0]: dir, filepath.Join(dir, "raft.db"): "raft.db"} {
		was, err := os.ReadFile(path)
		require.NoError(t, err)
		spoilt := bytes.Clone(was)
		spoilt[len(spoilt)/2] ^= 0xff
		if filepath.Base(path) == "raft.db" {
			spoilt = []byte("not a bolt file, but long enough to be read as one's header....")
		}
		require.NoError(t, os.WriteFile(path, spoilt, 0o600))
		_, err = Open(Config{ID: "n1", Raft: "127.0.0.1:0", Client: "127.0.0.1:0", Data: dir}, slog.New(slog.DiscardHandler))
		require.ErrorContains(t, err, names)
		kept, _ := os.ReadFile(path)
		require.Equal(t, spoilt, kept, "%s was changed", path)
		require.NoError(t, os.WriteFile(path, was, 0o600))
	}
	n, _, end = openMember(t, dir) // as it was: the promise is there
	n.fsm.read(func(s *promise.State) { _, found := s.Resolution("kept"); require.True(t, found) })
	end()
}
