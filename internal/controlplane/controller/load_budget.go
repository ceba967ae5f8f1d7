package controller

import (
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
)

// loadBudget is what may be loaded from the weight store now, for replicas that the platform lists.
type loadBudget struct {
	bucket placement.Bucket
	// submittedMb is the size in MB of the loads in the change under way.
	submittedMb int64
}

// refill brings the bucket up to now; what it may not hold any more must be gone before it is spent from.
func (b *loadBudget) refill(nowUs int64, s *statemachine.State, replicas *replicaTracker) {
	if s.Doc != nil {
		b.bucket.Fill(nowUs, s.Doc.Store, b.unconfirmedMb(s, replicas))
	}
}

// unconfirmedMb is the size in MB of all loads that no replica has acknowledged yet.
func (b *loadBudget) unconfirmedMb(s *statemachine.State, replicas *replicaTracker) int64 {
	sumMb := b.submittedMb
	for _, command := range s.Pending {
		if command.Action == statemachine.Load && !replicas.hasAcknowledged(command) {
			sumMb += command.SizeMB
		}
	}
	return sumMb
}

// spend takes the loads among new commands out of the budget.
func (b *loadBudget) spend(commands []statemachine.ReplicaCommand) {
	for _, command := range commands {
		if command.Action == statemachine.Load {
			b.bucket.Spend(command.SizeMB)
			b.submittedMb += command.SizeMB
		}
	}
}
