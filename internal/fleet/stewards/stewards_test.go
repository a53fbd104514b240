package stewards

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"woodrouter/spread"
)

func tellArgs(service, name string, seq uint64) TellArgs {
	return TellArgs{Service: service, Summary: spread.Summary{From: spread.Stamp{Name: name, Life: 1, Seq: seq}, Senders: 1,
		Counts: []spread.Count{{Server: service + "-1"}}}}
}

// TestIdleStewardRemoved: a service whose agents are gone has no steward after a while; its next one has
// another life, as loans are counted by the numbers of a life's views.
func TestIdleStewardRemoved(t *testing.T) {
	s := New("c1", 100, slog.New(slog.DiscardHandler))
	first, err := s.HandleSummary(tellArgs("a", "x", 1))
	require.NoError(t, err)
	other, err := s.HandleSummary(tellArgs("b", "y", 1))
	require.NoError(t, err)
	require.NotEqual(t, first.View.From.Life, other.View.From.Life)
	require.Equal(t, "b-1", other.View.Dues[0].Server)
	require.Len(t, other.View.Dues, 1, "services never mix")
	s.RemoveIdle()
	require.Contains(t, s.Status(), "steward of a: 1 of 1 agents heard")
	s.startedAt = s.startedAt.Add(-time.Minute)
	_, err = s.HandleSummary(tellArgs("b", "y", 2))
	require.NoError(t, err)
	s.RemoveIdle()
	require.NotContains(t, s.Status(), "steward of a")
	require.Contains(t, s.Status(), "steward of b")
	again, err := s.HandleSummary(tellArgs("a", "x", 2))
	require.NoError(t, err)
	require.Greater(t, again.View.From.Life, other.View.From.Life)
	_, err = s.HandleSummary(tellArgs("a", "x", 2))
	require.ErrorIs(t, err, ErrStale)
}

// TestLimits: services and agents over the bounds are refused, those that are known are served on,
// and places of agents that are gone are free again.
func TestLimits(t *testing.T) {
	s := New("c1", 1, slog.New(slog.DiscardHandler))
	for i := range MaxServices {
		_, err := s.HandleSummary(tellArgs(fmt.Sprint("s", i), "x", 1))
		require.NoError(t, err)
	}
	_, err := s.HandleSummary(tellArgs("one more", "x", 1))
	require.ErrorIs(t, err, ErrFull)
	for i := MaxServices; i < MaxSenders; i++ {
		_, err := s.HandleSummary(tellArgs("s0", fmt.Sprint("a", i), 1))
		require.NoError(t, err)
	}
	_, err = s.HandleSummary(tellArgs("s0", "late", 1))
	require.ErrorIs(t, err, ErrFull)
	_, err = s.HandleSummary(tellArgs("s0", "x", 2))
	require.NoError(t, err)
	for who := range s.senders {
		s.senders[who] = time.Now().Add(-2 * senderTTL)
	}
	s.prunedAt = time.Time{}
	_, err = s.HandleSummary(tellArgs("s0", "late", 1))
	require.NoError(t, err)
}
