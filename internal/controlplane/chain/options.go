package chain

import "petreltide/internal/process/clock"

// Options are the settings of a Node. Times are in microseconds; a time or bound that is 0 has the value named with it.
type Options struct {
	// Self is this control node as a member; Incarnation names this run of its process.
	Self        Member
	Incarnation string
	// BootstrapCount is how many fresh control nodes must meet to found a chain; 0 founds none.
	BootstrapCount int
	// BootstrapAddrs are the addresses of the control nodes that found a chain together, in place of BootstrapCount.
	BootstrapAddrs []string
	// FirstStart says that the whole fleet starts for the first time: this control node belongs to it from the start,
	// and takes nobody's vote. It holds until this control node has had one.
	FirstStart bool
	// AutoMembership lets the control nodes take in and drop each other without an operator's order.
	AutoMembership bool
	// UnsyncedLog says that the disk has refused to sync the records that it gave back: they count as synced only once
	// save OpeningPersistSeq is reported.
	UnsyncedLog bool
	// MinReplicas is how many synced replicas of an entry an acknowledgement needs; two at least where there are two voters.
	MinReplicas int
	// MinZones is in how many zones they must lie, as far as there are voters in so many.
	MinZones int
	// MinRegions is in how many regions they must lie, as far as there are voters in so many; Regions names the region of
	// each zone, and a zone that it does not name is a region by itself.
	MinRegions int
	Regions    map[string]string
	// HelloIntervalUs is how often every control node greets every other; 0 is 100 ms.
	HelloIntervalUs int64
	// SuspectTimeoutUs is the silence after which a member is suspected; 0 is 700 ms.
	SuspectTimeoutUs int64
	// LeaseDurationUs is how long a voter's lease holds for the tail; 0 is 1 s.
	LeaseDurationUs int64
	// LeaseMarginUs is how much earlier the holder lets go of a lease, for clocks that run apart; 0 is 100 ms.
	LeaseMarginUs int64
	// StallTimeoutUs is how long a sync may be outstanding before the member counts as stalled; 0 is 600 ms.
	StallTimeoutUs int64
	// VoteRecoveryTimeoutUs is how long a restarted voter waits to compare ballots and log with the others before it
	// votes; 0 is 1.5 s.
	VoteRecoveryTimeoutUs int64
	// GatherTimeoutUs is how long restarted voters wait for the others before they propose a view without them; 0 is 2 s.
	GatherTimeoutUs int64
	// ResendTimeoutUs is after what silence entries are sent again to the successor; 0 is 150 ms.
	ResendTimeoutUs int64
	// HeartbeatIntervalUs is how often a member tells its neighbours where it stands while nothing happens; 0 is at
	// every tick.
	HeartbeatIntervalUs int64
	// PrepareTimeoutUs is how long a ballot may gather promises before a higher one is tried; 0 is SuspectTimeoutUs and
	// LeaseDurationUs together.
	PrepareTimeoutUs int64
	// MaxRetainedEntries and MaxLogBytes bound the log before a snapshot takes its place; 0 is 4096 entries and 16 MiB.
	MaxRetainedEntries int
	MaxLogBytes        int64
	// MaxBatchEntries is how many entries one message carries; 0 is 256.
	MaxBatchEntries int
	// MaxUncommittedEntries is how many entries the head takes beyond what is committed; 0 is 2048.
	MaxUncommittedEntries int
}

func (o Options) withDefaults() Options {
	setDefault := func(v *int64, value int64) {
		if *v == 0 {
			*v = value
		}
	}
	setDefault(&o.HelloIntervalUs, 100*clock.Ms)
	setDefault(&o.SuspectTimeoutUs, 700*clock.Ms)
	setDefault(&o.LeaseDurationUs, 1000*clock.Ms)
	setDefault(&o.LeaseMarginUs, 100*clock.Ms)
	setDefault(&o.StallTimeoutUs, 600*clock.Ms)
	setDefault(&o.VoteRecoveryTimeoutUs, 1500*clock.Ms)
	setDefault(&o.GatherTimeoutUs, 2000*clock.Ms)
	setDefault(&o.ResendTimeoutUs, 150*clock.Ms)
	setDefault(&o.PrepareTimeoutUs, o.SuspectTimeoutUs+o.LeaseDurationUs)
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
