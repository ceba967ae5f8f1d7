package controller

import (
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
)

// loadBudget limits loads from the weight store in declared mode.
type loadBudget struct {
	bucket placement.Bucket
	// submittedMb is the total size of the loads in the pending change, in MB.
	submittedMb int64
}

// refill adds tokens for the time up to now. It must run before tokens are spent, so that the bucket's limit, which is
// reduced by the unconfirmed loads, is applied first.
func (b *loadBudget) refill(nowUs int64, s *statemachine.State, replicas *replicaTracker) {
	if s.Doc != nil {
		b.bucket.Fill(nowUs, s.Doc.Store, b.unconfirmedMb(s, replicas))
	}
}

// unconfirmedMb returns the total size of all loads that no replica has acknowledged yet, in MB.
func (b *loadBudget) unconfirmedMb(s *statemachine.State, replicas *replicaTracker) int64 {
	sumMb := b.submittedMb
	for _, command := range s.Pending {
		if command.Action == statemachine.Load && !replicas.hasAcknowledged(command) {
			sumMb += command.SizeMB
		}
	}
	return sumMb
}

// spend charges the loads among new commands to the budget.
func (b *loadBudget) spend(commands []statemachine.ReplicaCommand) {
	for _, command := range commands {
		if command.Action == statemachine.Load {
			b.bucket.Spend(command.SizeMB)
			b.submittedMb += command.SizeMB
		}
	}
}
