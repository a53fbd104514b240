package stewards

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"woodrouter/spread"
)

// tellArgs returns the arguments for summary seq of an agent, with one server.
func tellArgs(service, name string, seq uint64) TellArgs {
	return TellArgs{Service: service, Summary: spread.Summary{From: spread.Stamp{Name: name, Life: 1, Seq: seq}, Senders: 1,
		Counts: []spread.Count{{Server: service + "-1"}}}}
}

// TestIdleStewardRemoved: the steward of a service whose agents are gone is removed after a while, and the
// next one gets another life. Agents account loans by the numbers of the views of one life, so a reused life
// would mix up the loans of two stewards.
func TestIdleStewardRemoved(t *testing.T) {
	s := New("c1", 100, slog.New(slog.DiscardHandler))
	first, err := s.HandleSummary(tellArgs("a", "x", 1))
	require.NoError(t, err)
	other, err := s.HandleSummary(tellArgs("b", "y", 1))
	require.NoError(t, err)
	require.NotEqual(t, first.View.From.Life, other.View.From.Life)
	require.Equal(t, "b-1", other.View.Dues[0].Server)
	require.Len(t, other.View.Dues, 1, "services are separate")
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

// TestLimits: services and agents above the limits are refused while known ones are still served, and the
// places of agents that are gone become free again.
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
	for key := range s.senders {
		s.senders[key] = time.Now().Add(-2 * senderTTL)
	}
	s.prunedAt = time.Time{}
	_, err = s.HandleSummary(tellArgs("s0", "late", 1))
	require.NoError(t, err)
}
