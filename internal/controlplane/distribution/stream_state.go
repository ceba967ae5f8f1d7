package distribution

import (
	"maps"
	"slices"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/outlier"
)

// maxForgottenRows is how many rows a stream may remember beyond twice the registry's before it drops those that are forgotten.
const maxForgottenRows = 64

// streamState is what the streams of one kind have had.
type streamState struct {
	outliers      outlier.Table
	committed     bool
	possiblyStale bool
	// revision is the declaration's.
	revision uint64
	// registryRevision and replicasIndex are up to where changes of the registry and of the state's replicas went out.
	registryRevision uint64
	replicasIndex    uint64
	// staleIndex is up to where changes of the state went out for replicas that are not in the registry.
	staleIndex uint64
	// commandsIndex and commands are the pending commands that were sent last; nil before the first.
	commandsIndex uint64
	commands      map[string]wire.PendingOrder
	// view is the view's number, and controlNodes the members known with it.
	view         uint64
	controlNodes []chain.Member
	liveGateways int
	// rows are the replicas' rows as they were sent last.
	rows map[string]wire.ReplicaRow
	// stale are the replicas that were sent by the state alone, until the registry has them or the state drops them.
	stale map[string]bool
	// lastSentUs is when the last delta went out.
	lastSentUs int64
}

func newStreamState() streamState {
	return streamState{rows: map[string]wire.ReplicaRow{}, stale: map[string]bool{}}
}

// changedReplicas returns the rows that changes of the registry or the state have touched, where they differ from those
// that were sent.
func (s *streamState) changedReplicas(in FrameInput) []wire.ReplicaRow {
	rows := []wire.ReplicaRow(nil)
	ids := []string{}
	if s.registryRevision != in.Registry.Revision {
		ids = append(ids, in.Registry.ChangedSince(s.registryRevision)...)
	}
	if s.replicasIndex != in.State.ReplicasIndex {
		for id, r := range in.State.Replicas {
			if r.ModifiedIndex > s.replicasIndex && in.Registry.Entry(id) != nil {
				ids = append(ids, id)
			}
		}
	}
	s.registryRevision, s.replicasIndex = in.Registry.Revision, in.State.ReplicasIndex
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		row := replicaRow(in, id)
		delete(s.stale, id)
		if last, sent := s.rows[id]; sent && equivalentRows(&last, &row) {
			continue
		}
		s.rows[id] = row
		rows = append(rows, row)
	}
	if len(s.rows) > 2*in.Registry.Len()+maxForgottenRows {
		maps.DeleteFunc(s.rows, func(id string, _ wire.ReplicaRow) bool { return in.Registry.Entry(id) == nil })
	}
	rows = append(rows, s.newStaleReplicas(in)...)
	for _, id := range slices.Sorted(maps.Keys(s.stale)) {
		switch {
		case in.Registry.Entry(id) != nil:
			delete(s.stale, id)
		case in.State.Replicas[id] == nil:
			delete(s.stale, id)
			rows = append(rows, wire.ReplicaRow{Stale: true, ReplicaStatus: registry.ReplicaStatus{ID: id, Removed: true}})
		}
	}
	return rows
}

// newStaleReplicas returns the rows that the state has changed of replicas that are not in the registry. A stream may have
// begun before this control node knew what is committed, with a full frame that lacked them. A replica that was sent once
// and is forgotten has ended, and does not come back.
func (s *streamState) newStaleReplicas(in FrameInput) []wire.ReplicaRow {
	if !in.Committed || s.staleIndex == in.State.ReplicasIndex {
		return nil
	}
	rows := []wire.ReplicaRow(nil)
	for _, row := range staleRows(in) {
		if _, sent := s.rows[row.ID]; row.Index > s.staleIndex && !sent {
			s.stale[row.ID] = true
			rows = append(rows, row)
		}
	}
	s.staleIndex = in.State.ReplicasIndex
	return rows
}

// changedCommands returns the commands that are pending since the last delta, or not any more.
func (s *streamState) changedCommands(state *statemachine.State) *wire.PendingOrders {
	pending := make(map[string]wire.PendingOrder, len(state.Pending))
	orders := &wire.PendingOrders{Number: state.CommandsIndex, Rows: []wire.PendingOrder{}}
	for _, id := range slices.Sorted(maps.Keys(state.Pending)) {
		pending[id] = pendingCommand(id, state.Pending[id])
		if s.commands[id] != pending[id] {
			orders.Rows = append(orders.Rows, pending[id])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.commands)) {
		if _, isPending := pending[id]; !isPending {
			orders.Rows = append(orders.Rows, wire.PendingOrder{Replica: id})
		}
	}
	s.commandsIndex, s.commands = state.CommandsIndex, pending
	return orders
}
