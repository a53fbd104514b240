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

// openMember opens the only member of a group in a directory, and a client of it. The function
// returned closes both.
func openMember(t *testing.T, dir string) (*Node, *Client, func()) {
	n, err := Open(Config{ID: "n1", Raft: "127.0.0.1:0", Client: "127.0.0.1:0", Data: dir}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	ln, err := n.Serve()
	require.NoError(t, err)
	c := NewClient(map[string]string{"n1": ln.Addr().String()})
	return n, c, func() { c.Close(); ln.Close(); n.Close() }
}

// bootstrapAlone makes the member a group of one.
func bootstrapAlone(t *testing.T, n *Node) {
	one := raft.Configuration{Servers: []raft.Server{{ID: "n1", Address: n.Transport.LocalAddr()}}}
	require.NoError(t, n.Raft.BootstrapCluster(one).Error())
}

// propose has a resolution of a call committed.
func propose(t *testing.T, c *Client, call string) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err := c.ProposeWithRetry(ctx, promise.Entry{Op: promise.OpResolve, Call: call, Answer: promise.AnswerFailed})
	require.NoError(t, err)
}

// TestMalformedInput checks that random bytes on a connection affect nothing else, at the raft
// address and at the client address: the member commits as before.
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
			input := make([]byte, 1+rng.IntN(300))
			for j := range input {
				input[j] = byte(rng.Uint32())
			}
			input[0] = byte(i % 8) // the message types that raft's transport knows, and some that it does not
			conn.Write(input)
			conn.Close()
		}
	}
	propose(t, c, "after")
}

// TestCorruptData checks that a member does not start if its log store or its snapshot is corrupt,
// that the error names the file or directory, and that nothing there is changed. With the file
// restored, the member starts and has the promise.
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
		original, err := os.ReadFile(path)
		require.NoError(t, err)
		corrupt := bytes.Clone(original)
		corrupt[len(corrupt)/2] ^= 0xff
		if filepath.Base(path) == "raft.db" {
			corrupt = []byte("not a bolt file, but long enough to be read as one's header....")
		}
		require.NoError(t, os.WriteFile(path, corrupt, 0o600))
		_, err = Open(Config{ID: "n1", Raft: "127.0.0.1:0", Client: "127.0.0.1:0", Data: dir}, slog.New(slog.DiscardHandler))
		require.ErrorContains(t, err, names)
		after, _ := os.ReadFile(path)
		require.Equal(t, corrupt, after, "%s was changed", path)
		require.NoError(t, os.WriteFile(path, original, 0o600))
	}
	n, _, end = openMember(t, dir)
	n.fsm.read(func(s *promise.State) { _, found := s.Resolution("kept"); require.True(t, found) })
	end()
}
