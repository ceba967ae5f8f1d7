package chain

import "petreltide/internal/process/clock"

// Options are what a Node goes by; times that are 0 are as usual.
type Options struct {
	Self           Member
	Incarnation    string
	BootstrapCount int
	// BootstrapAddrs are the addresses of the control nodes that begin a chain together, in place of Founding.
	BootstrapAddrs []string
	// FirstStart says that the whole fleet starts for the first time: this control node belongs to it from the start,
	// and takes nobody's vote. It holds until this control node has had one.
	FirstStart bool
	// AutoMembership lets the control nodes take in and drop each other without an operator's order.
	AutoMembership bool
	// Unsynced says that the disk has refused to sync the records that it gave back: they count as synced only once
	// save OpeningPersistSeq is reported.
	Unsynced bool
	// MinReplicas is how many synced copies an acknowledgement needs; two at least where there are two voters.
	MinReplicas int
	// MinZones is in how many zones they must lie, as far as there are voters in so many.
	MinZones              int
	HelloIntervalUs       int64
	SuspectTimeoutUs      int64
	LeaseDurationUs       int64
	LeaseMarginUs         int64
	StallTimeoutUs        int64
	VoteRecoveryTimeoutUs int64
	GatherTimeoutUs       int64
	ResendTimeoutUs       int64
	// HeartbeatIntervalUs is how often a member tells its neighbours where it stands while nothing happens.
	HeartbeatIntervalUs int64
	// PrepareTimeoutUs is how long a ballot may gather promises before a higher one is tried.
	PrepareTimeoutUs      int64
	MaxRetainedEntries    int
	MaxLogBytes           int64
	MaxBatchEntries       int
	MaxUncommittedEntries int
}

func (o Options) withDefaults() Options {
	set := func(v *int64, usual int64) {
		if *v == 0 {
			*v = usual
		}
	}
	set(&o.HelloIntervalUs, 100*clock.Ms)
	set(&o.SuspectTimeoutUs, 700*clock.Ms)
	set(&o.LeaseDurationUs, 1000*clock.Ms)
	set(&o.LeaseMarginUs, 100*clock.Ms)
	set(&o.StallTimeoutUs, 600*clock.Ms)
	set(&o.VoteRecoveryTimeoutUs, 1500*clock.Ms)
	set(&o.GatherTimeoutUs, 2000*clock.Ms)
	set(&o.ResendTimeoutUs, 150*clock.Ms)
	set(&o.PrepareTimeoutUs, o.SuspectTimeoutUs+o.LeaseDurationUs)
	o.MinReplicas = max(o.MinReplicas, 1)
	if o.MaxRetainedEntries == 0 {
		o.MaxRetainedEntries = 4096
	}
	if o.MaxLogBytes == 0 {
		o.MaxLogBytes = 16 << 20
	}
	if o.MaxBatchEntries == 0 {
		o.MaxBatchEntries = 256
	}
	if o.MaxUncommittedEntries == 0 {
		o.MaxUncommittedEntries = 2048
	}
	return o
}
