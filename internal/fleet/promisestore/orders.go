package promisestore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"woodrouter/internal/fleet/replica"
	"woodrouter/promise"
)

// Every group stores all operators' orders and the versions in force. There are few of them, and any
// group that an agent can still reach then knows them.

// orderTimeout limits an operator's order, and so the wait for the console's answer.
const orderTimeout = 2 * time.Second

// drainSubject is the name of an agent in drain orders (promise.Entry.Server).
func drainSubject(agent string) string { return "agent/" + agent }

// Drain stores in every group that this agent is drained, or no longer is. It returns once each group
// has stored it. An error names the groups that have not; others may have, and the order may be
// repeated.
func (s *Store) Drain(on bool) error {
	op := promise.OpUndrain
	if on {
		op = promise.OpDrain
	}
	return s.proposeToAll(promise.Entry{Op: op, Server: drainSubject(s.name), AtUs: time.Now().UnixMicro()})
}

// Drained reports whether any group that can be reached has this agent drained. If none can be reached
// it returns an error: the agent can't know whether it may take calls, and could promise none an answer.
func (s *Store) Drained() (bool, error) {
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
	defer cancel()
	var errs []error
	groups := s.Overview(ctx)
	for id, status := range groups {
		if status.Err != nil {
			errs = append(errs, fmt.Errorf("group %s: %w", id, status.Err))
		} else if slices.Contains(status.Drained, drainSubject(s.name)) {
			return true, nil
		}
	}
	if len(errs) > 0 && len(errs) == len(groups) {
		return false, errors.Join(errs...)
	}
	return false, nil
}

// proposeToAll proposes an entry to all groups at the same time, and waits for them.
func (s *Store) proposeToAll(e promise.Entry) error {
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
	defer cancel()
	groups := s.rings.Load().groups
	errs := make(chan error, len(groups))
	for id, g := range groups {
		s.background.Go(func() {
			_, err := g.ProposeWithRetry(ctx, e)
			if err != nil {
				err = fmt.Errorf("group %s: %w", id, err)
			}
			errs <- err
		})
	}
	var all []error
	for range groups {
		all = append(all, <-errs)
	}
	return errors.Join(all...)
}

// RecordVersion stores in every group the digest of a file that took effect, and logs a warning if a
// group had another digest: operators need to know of agents that run with different files during a
// roll-out. It works in the background.
func (s *Store) RecordVersion(kind, path string) {
	text, err := os.ReadFile(path)
	if err != nil {
		s.log.Warn("version not stored", "kind", kind, "error", err)
		return
	}
	s.RecordDigest(kind, text)
}

// RecordDigest is RecordVersion for a text in memory.
func (s *Store) RecordDigest(kind string, text []byte) {
	sum := sha256.Sum256(text)
	version := hex.EncodeToString(sum[:8])
	if !s.startProposal(func() {
		ctx, cancel := context.WithTimeout(s.ctx, endTimeout)
		defer cancel()
		for id, g := range s.rings.Load().groups {
			if st, err := g.LeaderStatus(ctx); err == nil && st.Versions[kind] != "" && st.Versions[kind] != version {
				s.log.Warn("version differs from what the group held", "kind", kind, "group", id,
					"held", st.Versions[kind], "now", version)
			}
		}
		if err := s.proposeToAll(promise.Entry{Op: promise.OpVersion, Kind: kind, Version: version}); err != nil {
			s.log.Warn("version not stored", "kind", kind, "error", err)
		}
	}) {
		s.log.Warn("version not stored", "kind", kind, "error", "too many proposals under way")
	}
}

// GroupStatus is the status that a group's leader reports, or the error if none answered.
type GroupStatus struct {
	replica.StatusReply
	Err error
}

// Overview asks the leaders of all groups at the same time, and returns their answers by group.
func (s *Store) Overview(ctx context.Context) map[string]GroupStatus {
	groups := s.rings.Load().groups
	type answer struct {
		id     string
		status GroupStatus
	}
	answers := make(chan answer, len(groups))
	for id, g := range groups {
		go func() {
			status, err := g.LeaderStatus(ctx)
			answers <- answer{id, GroupStatus{status, err}}
		}()
	}
	out := map[string]GroupStatus{}
	for range groups {
		a := <-answers
		out[a.id] = a.status
	}
	return out
}
