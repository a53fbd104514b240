package agent

import (
	"maps"
	"slices"

	"woodrouter/policy"
)

// Servers updates the server list. whole: servers that are not in the list are gone.
func (a *Agent) Servers(list []Server, whole bool) {
	a.post("", func() { a.servers(list, whole) })
}

// Reported passes on a report that did not come with an answer, or the outcome of a probe. It blocks until the core
// has handled an unsolicited report; the number of the others is bounded by the probes.
func (a *Agent) Reported(p policy.ReportReceived) {
	post := a.post
	if !p.Solicited {
		post = a.postAndWait
	}
	post("", func() {
		a.observations.recordReport(p)
		a.act(a.controller.Handle(a.now(), p))
	})
}

// dropReplaced marks the servers as gone whose address another server with a later start has taken over. A
// server is replaced at its address before the list says that it is gone, and calls meant for the old server
// would reach the new one, which is cold. The given list is not modified.
func (a *Agent) dropReplaced(list []Server, whole bool) []Server {
	list = slices.Clone(list)
	if whole {
		clear(a.serverByAddress)
	}
	for i, s := range list {
		maps.DeleteFunc(a.serverByAddress, func(address string, holder Server) bool { return holder.ID == s.ID && address != s.Address })
		holder, held := a.serverByAddress[s.Address]
		switch {
		case s.State == policy.Gone || s.Address == "":
			if held && holder.ID == s.ID {
				delete(a.serverByAddress, s.Address)
			}
		case held && holder.ID != s.ID && holder.ReadyAt > s.ReadyAt:
			list[i].State = policy.Gone
		case held && holder.ID != s.ID:
			a.cfg.Log.Info("setup server replaced by another at the same address", "address", s.Address, "old", holder.ID, "new", s.ID)
			holder.State = policy.Gone
			list = append(list, holder)
			a.serverByAddress[s.Address] = s
		default:
			a.serverByAddress[s.Address] = s
		}
	}
	return list
}

// servers passes an updated server list to the backend and to the module.
func (a *Agent) servers(list []Server, whole bool) {
	list = a.dropReplaced(list, whole)
	update := policy.ServerList{Whole: whole}
	for _, s := range list {
		update.Servers = append(update.Servers, s.Server)
	}
	a.observations.recordList(list, whole)
	a.backend.Servers(list, whole) // first: the backend must know the servers to which the module sends next
	a.act(a.controller.Handle(a.now(), update))
}
