package quorum

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestVoters checks that a fourth machine without a vote is allowed, and that a bootstrap list is
// refused if it has an even number of voters (a network partition could split it in half), no voter,
// an id twice, or lacks this member.
func TestVoters(t *testing.T) {
	no := false
	peer := func(id string, voter *bool) Peer { return Peer{ID: id, Raft: "127.0.0.1:1", Voter: voter} }
	for want, peers := range map[string][]Peer{
		"":                         {peer("c1", nil), peer("c2", nil), peer("c3", nil), peer("c4", &no)},
		"4 voters":                 {peer("c1", nil), peer("c2", nil), peer("c3", nil), peer("c4", nil)},
		"2 voters":                 {peer("c1", nil), peer("c2", nil)},
		"no voter":                 {peer("c1", &no)},
		"not among them":           {peer("c2", nil)},
		`bootstrap[1].id: "c1" tw`: {peer("c1", nil), peer("c1", nil)},
	} {
		err := Config{ID: "c1", Raft: "127.0.0.1:0", Client: "127.0.0.1:0", Data: "d", Bootstrap: peers}.Valid()
		if want == "" {
			require.NoError(t, err)
		} else {
			require.ErrorContains(t, err, want)
		}
	}
}
