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

// An operator's orders and the versions in force are kept by every group: they are few, and
// whichever group an agent can still reach then knows them.

// orderTimeout bounds an operator's order: the console's answer comes within it.
const orderTimeout = 2 * time.Second

// drainSubject is an agent under a drain order, as package promise names it.
func drainSubject(agent string) string { return "agent/" + agent }

// Drain has every group keep that this agent is drained, or is not any more. It returns once
// each has it; an error names the group that has not, and the order may then hold in part:
// given again it does no harm.
func (k *Store) Drain(on bool) error {
	op := promise.OpUndrain
	if on {
		op = promise.OpDrain
	}
	return k.proposeToAll(promise.Entry{Op: op, Server: drainSubject(k.name), AtUs: time.Now().UnixMicro()})
}

// Drained tells whether a group that can be reached keeps this agent drained. With no group
// within reach it is an error: whether the agent may take calls is not known, and nothing
// could be promised to any.
func (k *Store) Drained() (bool, error) {
	ctx, cancel := context.WithTimeout(k.ctx, orderTimeout)
	defer cancel()
	var errs []error
	views := k.Overview(ctx)
	for id, v := range views {
		if v.Err != nil {
			errs = append(errs, fmt.Errorf("group %s: %w", id, v.Err))
		} else if slices.Contains(v.Drained, drainSubject(k.name)) {
			return true, nil
		}
	}
	if len(errs) > 0 && len(errs) == len(views) {
		return false, errors.Join(errs...)
	}
	return false, nil
}

// proposeToAll proposes an entry to every group, together.
func (k *Store) proposeToAll(e promise.Entry) error {
	ctx, cancel := context.WithTimeout(k.ctx, orderTimeout)
	defer cancel()
	groups := k.rings.Load().groups
	errs := make(chan error, len(groups))
	for id, g := range groups {
		k.background.Go(func() {
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

// RecordVersion has every group keep the digest of a file that took effect, and warns where the
// groups held another: agents at work by different files is what an operator wants to know
// during a roll-out. Nobody waits for it.
func (k *Store) RecordVersion(kind, path string) {
	text, err := os.ReadFile(path)
	if err != nil {
		k.log.Warn("version not kept", "kind", kind, "error", err)
		return
	}
	k.RecordDigest(kind, text)
}

// RecordDigest is Version of a text at hand.
func (k *Store) RecordDigest(kind string, text []byte) {
	sum := sha256.Sum256(text)
	version := hex.EncodeToString(sum[:8])
	if !k.startProposal(func() {
		ctx, cancel := context.WithTimeout(k.ctx, endTimeout)
		defer cancel()
		for id, g := range k.rings.Load().groups {
			if s, err := g.LeaderStatus(ctx); err == nil && s.Versions[kind] != "" && s.Versions[kind] != version {
				k.log.Warn("version differs from what the group held", "kind", kind, "group", id, "held", s.Versions[kind], "now", version)
			}
		}
		if err := k.proposeToAll(promise.Entry{Op: promise.OpVersion, Kind: kind, Version: version}); err != nil {
			k.log.Warn("version not kept", "kind", kind, "error", err)
		}
	}) {
		k.log.Warn("version not kept", "kind", kind, "error", "too many proposals under way")
	}
}

// GroupStatus is what a group's leader tells of it, or why none does.
type GroupStatus struct {
	replica.StatusReply
	Err error
}

// Overview asks every group's leader, together.
func (k *Store) Overview(ctx context.Context) map[string]GroupStatus {
	groups := k.rings.Load().groups
	type answer struct {
		id string
		v  GroupStatus
	}
	answers := make(chan answer, len(groups))
	for id, g := range groups {
		go func() {
			s, err := g.LeaderStatus(ctx)
			answers <- answer{id, GroupStatus{s, err}}
		}()
	}
	out := map[string]GroupStatus{}
	for range groups {
		a := <-answers
		out[a.id] = a.v
	}
	return out
}
