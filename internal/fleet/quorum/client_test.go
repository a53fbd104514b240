package quorum

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUnknownLeader: a leader of which it is not known what it made of a proposal (stalled, or
// deposed) is not asked first again, so that its callers find the next one.
func TestUnknownLeader(t *testing.T) {
	c := NewClient(map[string]string{"a": "127.0.0.1:1", "b": "127.0.0.1:1"})
	c.Follow("a")
	var asked []string
	ask := func(id string) (Answer, error) {
		asked = append(asked, id)
		if id == "a" {
			return Answer{Outcome: Unknown}, nil
		}
		return Answer{Outcome: Committed}, nil
	}
	require.ErrorIs(t, c.Each(context.Background(), ask, nil), ErrUnknown)
	require.Equal(t, []string{"a"}, asked)
	err := c.Each(context.Background(), ask, nil)
	if asked[1] == "a" { // in turn, where none is known to lead
		err = c.Each(context.Background(), ask, nil)
	}
	require.NoError(t, err)
	require.Equal(t, "b", asked[len(asked)-1])
}
