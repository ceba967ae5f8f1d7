package controlnode

import (
	"path/filepath"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/settings"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/peering"
	"petreltide/internal/controlplane/quota"
	"petreltide/internal/controlplane/storage"
	"petreltide/internal/process/actor"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/httpserver"
	"petreltide/internal/process/logring"
	"petreltide/internal/process/randomid"
	"petreltide/internal/process/rpc"
)

// Open locks and reads the data directory and returns a Host that is not yet running. Damaged data is moved aside under a name
// that says so, and the control node starts as a new member: it never votes on the basis of state that it may have lost.
func Open(set settings.ControlNode, ring *logring.Ring) (*Host, error) {
	logger := ring.Logger("control-node", set.Name)
	lock, err := storage.Lock(set.DataDir, set.Name, lockTimeout)
	if err != nil {
		return nil, errors.Trace(err)
	}
	h, err := openLocked(set, ring, logger)
	if err != nil {
		_ = lock.Close()
		return nil, err
	}
	lock.WriteOwner(set.Name)
	h.lock = lock
	return h, nil
}

// openLocked is Open after the data directory has been locked.
func openLocked(set settings.ControlNode, ring *logring.Ring, logger log.Logger) (*Host, error) {
	owner := chain.Owner{MemberID: set.Name + "-" + randomid.New(4), Name: set.Name}
	opened, err := storage.Open(set.DataDir, owner)
	var bad *fault.Fault
	foundingSize := set.FoundingSize
	if errors.As(err, &bad) && bad.Code == fault.DamagedData {
		quarantined, quarantineErr := storage.Quarantine(set.DataDir, randomid.New(4))
		if quarantineErr != nil {
			return nil, errors.Trace(quarantineErr)
		}
		_ = level.Error(logger).Log("msg", "damaged data set aside", "kept", quarantined, "why", bad.Error())
		ring.Dump("stored data is damaged (" + bad.Error() + "); it is kept in " + quarantined + " and will be copied from peers")
		opened, err = storage.Open(set.DataDir, owner)
	}
	if err != nil {
		return nil, err
	}
	if opened.TornBytes > 0 {
		_ = level.Warn(logger).Log("msg", "cut a torn last record", "bytes", opened.TornBytes)
	}
	if opened.WriteErr != nil {
		_ = level.Error(logger).Log("msg", "the disk takes no bytes", "err", opened.WriteErr)
	}
	self := chain.Member{ID: opened.Store.Owner().MemberID, Name: set.Name, Addr: set.Advertise, Zone: set.Zone}
	if quarantined, _ := filepath.Glob(filepath.Join(set.DataDir, "chain.damaged-*")); opened.Created && len(quarantined) > 0 {
		foundingSize = 0
	}
	opts := chain.Options{
		Self: self, Incarnation: randomid.New(6), BootstrapCount: foundingSize, MinReplicas: set.MinReplicas, MinZones: set.MinZones,
		MinRegions: set.MinRegions, Regions: set.Regions, AutoMembership: set.Membership == settings.AutomaticMembership,
		UnsyncedLog: opened.WriteErr != nil,
	}
	if opts.AutoMembership {
		opts = WithAutoMembershipTimings(opts)
	}
	if opened.Created {
		opts.BootstrapAddrs, opts.FirstStart = set.Founders, len(set.Founders) > 0
	}
	node, err := chain.NewNode(opts, opened.Records, clock.NowUs())
	if err != nil {
		return nil, fault.New(fault.DamagedData, set.DataDir, "%v", err)
	}
	core := NewCore(node, CoreOptions{
		UnreachableUs: set.HeartbeatMs * 5 / 2 * clock.Ms,
		Quota:         quotaOptions(set),
		Controller: controller.Options{
			LeaseUs: set.LeaseMs * clock.Ms, StoreWindowUs: set.StoreWindowMs * clock.Ms, StoreOvershoot: set.StoreOvershoot,
			Outlier: set.Outlier.OptionsWithout(set.Disable), Disable: set.Disable,
		},
	})
	h := &Host{
		settings: set, serverLimits: httpserver.SoleLimits(httpserver.Machine{MemoryBytes: int64(set.MemoryMB) << 20}), core: core, disk: opened.Store, ring: ring, log: logger,
		replicaClient: rpc.Client(500, set.Listen), peerClient: rpc.NodeClient(peerDialTimeoutMs, set.Listen),
		actor: actor.New(mailboxCapacity), persistQueue: newPersistQueue(),
		retryTimer: func() <-chan time.Time { return time.After(diskRetryInterval) },
		outboxes:   map[string]chan peering.Message{}, snapshotTransfers: map[string]*snapshotTransfer{},
		waiters: map[string][]chan wire.Result{}, leases: map[uint64]chan wire.Lease{}, quotas: map[uint64]chan wire.QuotaResponse{},
		acknowledgements: map[uint64]chan bool{},
		updateStreams:    map[string]*updateStream{}, rebuilding: opened.Created && foundingSize == 0 && len(set.Founders) == 0,
		fatal:        make(chan error, 1),
		frameStreams: map[string]*frameStream{},
	}
	h.replicas = &declaredReplicas{h}
	h.seeds.Store(&set.Seeds)
	return h, nil
}

// quotaOptions returns the options of the quota ledger. It tolerates the loss of as many control nodes as an acknowledged
// change does: one less than its minimum number of copies.
func quotaOptions(set settings.ControlNode) quota.Options {
	return quota.Options{
		WindowUs: set.Quota.WindowMs * clock.Ms, Overshoot: set.Quota.Overshoot, Slack: set.Quota.Slack,
		ToleratedLosses: max(0, set.MinReplicas-1),
	}
}

// WithAutoMembershipTimings returns options with the timers of a chain with automatic membership, whose control nodes add and
// remove each other.
func WithAutoMembershipTimings(options chain.Options) chain.Options {
	options.HelloIntervalUs, options.HeartbeatIntervalUs, options.SuspectTimeoutUs =
		autoMembershipHeartbeatIntervalUs, autoMembershipHeartbeatIntervalUs, autoMembershipSuspectTimeoutUs
	options.LeaseDurationUs, options.VoteRecoveryTimeoutUs, options.GatherTimeoutUs, options.PrepareTimeoutUs =
		autoMembershipLeaseDurationUs, autoMembershipVoteRecoveryTimeoutUs, autoMembershipGatherTimeoutUs, autoMembershipPrepareTimeoutUs
	return options
}
