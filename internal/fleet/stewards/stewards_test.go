package stewards

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"woodrouter/spread"
)

func told(service, name string, seq uint64) TellArgs {
	return TellArgs{Service: service, Summary: spread.Summary{From: spread.Stamp{Name: name, Life: 1, Seq: seq}, Senders: 1,
		Counts: []spread.Count{{Server: service + "-1"}}}}
}

// TestForgotten: a service whose agents are gone has no steward after a while; its next one has
// another life, as loans are counted by the numbers of a life's views.
func TestForgotten(t *testing.T) {
	s := New("c1", 100, slog.New(slog.DiscardHandler))
	first, err := s.Tell(told("a", "x", 1))
	require.NoError(t, err)
	other, err := s.Tell(told("b", "y", 1))
	require.NoError(t, err)
	require.NotEqual(t, first.View.From.Life, other.View.From.Life)
	require.Equal(t, "b-1", other.View.Dues[0].Server)
	require.Len(t, other.View.Dues, 1, "services never mix")
	s.Sweep()
	require.Contains(t, s.Say(), "steward of a: 1 of 1 agents heard")
	s.began = s.began.Add(-time.Minute)
	_, err = s.Tell(told("b", "y", 2))
	require.NoError(t, err)
	s.Sweep()
	require.NotContains(t, s.Say(), "steward of a")
	require.Contains(t, s.Say(), "steward of b")
	again, err := s.Tell(told("a", "x", 2))
	require.NoError(t, err)
	require.Greater(t, again.View.From.Life, other.View.From.Life)
	_, err = s.Tell(told("a", "x", 2))
	require.ErrorIs(t, err, ErrOld)
}

// TestFull: services and agents over the bounds are refused, those that are known are served on,
// and places of agents that are gone are free again.
func TestFull(t *testing.T) {
	s := New("c1", 1, slog.New(slog.DiscardHandler))
	for i := range MostServices {
		_, err := s.Tell(told(fmt.Sprint("s", i), "x", 1))
		require.NoError(t, err)
	}
	_, err := s.Tell(told("one more", "x", 1))
	require.ErrorIs(t, err, ErrFull)
	for i := MostServices; i < MostSenders; i++ {
		_, err := s.Tell(told("s0", fmt.Sprint("a", i), 1))
		require.NoError(t, err)
	}
	_, err = s.Tell(told("s0", "late", 1))
	require.ErrorIs(t, err, ErrFull)
	_, err = s.Tell(told("s0", "x", 2))
	require.NoError(t, err)
	for who := range s.senders {
		s.senders[who] = time.Now().Add(-2 * heardFor)
	}
	s.pruned = time.Time{}
	_, err = s.Tell(told("s0", "late", 1))
	require.NoError(t, err)
}
