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

// maxForgottenRows is how many rows a stream may keep beyond twice the size of the registry before it deletes the rows of
// replicas that are no longer in the registry.
const maxForgottenRows = 64

// streamState is what was sent to all complete streams of one kind, primary or standby.
type streamState struct {
	outliers      outlier.Table
	committed     bool
	possiblyStale bool
	// revision is the revision of the declaration.
	revision uint64
	// registryRevision and replicasIndex are the positions up to which changes of the registry and of the state's replicas were sent.
	registryRevision uint64
	replicasIndex    uint64
	// staleIndex is the position up to which changes of the state were sent for replicas that are not in the registry.
	staleIndex uint64
	// commandsIndex and commands are the index and the content of the pending commands sent last; commands is nil before the first.
	commandsIndex uint64
	commands      map[string]wire.PendingOrder
	// view is the number of the view, and controlNodes the control nodes sent with it.
	view         uint64
	controlNodes []chain.Member
	liveGateways int
	// rows holds the last row sent for each replica.
	rows map[string]wire.ReplicaRow
	// stale holds the replicas that were sent from the state alone, until the registry contains them or the state drops them.
	stale map[string]bool
	// lastSentUs is the time of the last delta.
	lastSentUs int64
}

func newStreamState() streamState {
	return streamState{rows: map[string]wire.ReplicaRow{}, stale: map[string]bool{}}
}

// changedReplicas returns the rows of replicas that changed in the registry or in the state, if they differ from the rows sent
// last.
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

// newStaleReplicas returns the rows changed in the state for replicas that are not in the registry. A stream may have started
// before this control node knew what is committed, and its full frame then lacked these rows. A replica that was sent before
// and is no longer in the registry has ended; it is not sent again.
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

// changedCommands returns the commands that became pending since the last delta, and an empty row for each replica whose command
// is no longer pending.
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
