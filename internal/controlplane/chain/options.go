package chain

import "petreltide/internal/process/clock"

// Options are the settings of a Node. Times are in microseconds; a time or bound that is 0 gets the default given with it.
type Options struct {
	// Self is this control node as a member; Incarnation identifies this run of its process.
	Self        Member
	Incarnation string
	// BootstrapCount is how many fresh control nodes must hear each other to found a chain; with 0 this node founds none.
	BootstrapCount int
	// BootstrapAddrs are the addresses of the control nodes that found a chain together, in place of BootstrapCount.
	BootstrapAddrs []string
	// FirstStart says that the whole fleet starts for the first time: this control node belongs to it from the start, and
	// gets a vote of its own in place of that of another member. It is cleared once this control node is a voter.
	FirstStart bool
	// AutoMembership lets the control nodes add and remove each other without an operator's command.
	AutoMembership bool
	// UnsyncedLog says that the disk refused to sync the records that were read back from it. They count as synced only once
	// Persisted reports OpeningPersistSeq.
	UnsyncedLog bool
	// MinReplicas is how many replicas must have synced an entry before it is acknowledged; at least two if there are two voters.
	MinReplicas int
	// MinZones is how many zones these replicas must span, or as many as the voters span if those are fewer.
	MinZones int
	// MinRegions is how many regions these replicas must span, or as many as the voters span if those are fewer. Regions maps
	// zones to regions; a zone that it does not contain is a region of its own.
	MinRegions int
	Regions    map[string]string
	// HelloIntervalUs is how often every control node sends a hello to every other; 0 is 100 ms.
	HelloIntervalUs int64
	// SuspectTimeoutUs is the silence after which a member is suspected; 0 is 700 ms.
	SuspectTimeoutUs int64
	// IsolationTimeoutUs is for how long half of the voters, with the tie-breaker, must have heard none of the others before they decide
	// alone; 0 is three times SuspectTimeoutUs.
	IsolationTimeoutUs int64
	// LeaseDurationUs is how long a lease that a voter grants to the tail is valid; 0 is 1 s.
	LeaseDurationUs int64
	// LeaseMarginUs is how much earlier the tail considers its lease expired, to allow for clock drift; 0 is 100 ms.
	LeaseMarginUs int64
	// StallTimeoutUs is how long a sync may be outstanding before the disk of the member counts as stalled; 0 is 600 ms.
	StallTimeoutUs int64
	// VoteRecoveryTimeoutUs is how long a restarted voter waits to compare ballots and logs with the other voters before it
	// votes without some of them; 0 is 1.5 s.
	VoteRecoveryTimeoutUs int64
	// GatherTimeoutUs is how long restarted voters wait for the others before they propose a view without them; 0 is 2 s.
	GatherTimeoutUs int64
	// ResendTimeoutUs is after how long without progress of the successor entries are sent to it again; 0 is 150 ms.
	ResendTimeoutUs int64
	// HeartbeatIntervalUs is how often an idle member sends a Forward to its successor and an Ack to its predecessor; 0 is at
	// every tick.
	HeartbeatIntervalUs int64
	// PrepareTimeoutUs is how long a proposer collects promises for a ballot before it tries a higher one; 0 is the sum of
	// SuspectTimeoutUs and LeaseDurationUs.
	PrepareTimeoutUs int64
	// MaxRetainedEntries and MaxLogBytes bound the log before it is compacted into a snapshot; 0 is 4096 entries and 16 MiB.
	MaxRetainedEntries int
	MaxLogBytes        int64
	// MaxBatchEntries is the maximum number of entries in one message; 0 is 256.
	MaxBatchEntries int
	// MaxUncommittedEntries is how many entries the head appends beyond the commit index; 0 is 2048.
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
	setDefault(&o.IsolationTimeoutUs, 3*o.SuspectTimeoutUs)
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
