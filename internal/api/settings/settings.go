package settings

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"syscall"

	"sigs.k8s.io/yaml"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/feature"
	"petreltide/internal/outlier"
	"petreltide/internal/process/clock"
)

// ControlNode holds the settings of a control node. Times are in milliseconds, addresses have the form IP:port.
type ControlNode struct {
	Name         string   `json:"name" validate:"required,max=64,hostname_rfc1123"`
	Listen       string   `json:"listen" validate:"required"`
	Advertise    string   `json:"advertise"`
	Zone         string   `json:"zone" validate:"required,max=32"`
	Seeds        []string `json:"seeds" validate:"required,min=1,max=3,dive,required"`
	DataDir      string   `json:"data" validate:"required"`
	Platform     string   `json:"platform"`
	FoundingSize int      `json:"founding" validate:"min=0,max=7"`

	// Founders are the addresses of the control nodes that found a new chain together; an alternative to FoundingSize.
	Founders []string `json:"founders,omitempty" validate:"max=7"`
	// MinReplicas is the minimum number of synced copies before a write is acknowledged.
	MinReplicas int `json:"copiesLeast,omitempty" validate:"min=0,max=7"`
	// MinZones is the minimum number of zones that hold those copies.
	MinZones int `json:"zonesLeast,omitempty" validate:"min=0,max=7"`
	// MinRegions is the minimum number of regions that hold those copies; Regions maps each zone to its region.
	MinRegions int               `json:"minRegions,omitempty" validate:"min=0,max=7"`
	Regions    map[string]string `json:"regions,omitempty"`
	// Membership determines who changes the set of control nodes: operators by command, or the control nodes themselves,
	// which replace a silent one by an empty one.
	Membership Membership `json:"members,omitempty" validate:"omitempty,oneof=command self"`
	// LeaseMs is how long after its last order replicas stay bound to the control node that sends them orders.
	LeaseMs        int64   `json:"leaseMs,omitempty" validate:"min=0,max=3600000"`
	HeartbeatMs    int64   `json:"heartbeatMs,omitempty" validate:"min=0,max=3600000"`
	StoreWindowMs  int64   `json:"storeWindowMs,omitempty" validate:"min=0,max=3600000"`
	StoreOvershoot float64 `json:"storeOvershoot,omitempty" validate:"min=0,max=10"`
	MemoryMB       int     `json:"memoryMb,omitempty" validate:"min=0"`
	// HandoverTimeoutMs is how long a control node that is told to shut down waits for others to take over its place in the
	// chain and its vote.
	HandoverTimeoutMs int64 `json:"leaveMs,omitempty" validate:"min=0,max=3600000"`
	// Quota bounds by how much tenants with a limit may exceed it.
	Quota   Quota   `json:"quota,omitzero"`
	Outlier Outlier `json:"outlier,omitempty"`
	// Disable lists feature gates to disable, in order to measure the benefit of each mechanism.
	Disable feature.Disabled `json:"disable,omitempty"`
}

// Outlier holds the bounds of outlier detection, which judges replicas by the outcomes of their attempts. A zero field stands
// for the default. MaxEjectedShare is the maximum share of a service's replicas that may be ejected at the same time.
// FalsePositiveMs is the interval in which a healthy replica may be suspected once. EjectionMs is the duration of the first
// ejection, which doubles up to MaxEjectionMs. With CountOnly, outcomes are counted but no replica is ejected.
type Outlier struct {
	MaxEjectedShare float64 `json:"mostShare,omitempty" validate:"min=0,max=1"`
	FalsePositiveMs int64   `json:"falseMs,omitempty" validate:"min=0,max=86400000"`
	EjectionMs      int64   `json:"outMs,omitempty" validate:"min=0,max=3600000"`
	MaxEjectionMs   int64   `json:"outMostMs,omitempty" validate:"min=0,max=3600000"`
	CountOnly       bool    `json:"off,omitempty"`
}

// Options returns the bounds as options of the detector, with times in microseconds.
func (o Outlier) Options() outlier.Options {
	return outlier.Options{MaxEjectedFraction: o.MaxEjectedShare, FalseEjectionIntervalUs: o.FalsePositiveMs * clock.Ms, BaseEjectionUs: o.EjectionMs * clock.Ms, MaxEjectionUs: o.MaxEjectionMs * clock.Ms, Disabled: o.CountOnly}
}

// OptionsWithout returns the options, with ejection disabled if the FleetOutliers gate is disabled.
func (o Outlier) OptionsWithout(off feature.Disabled) outlier.Options {
	opts := o.Options()
	opts.Disabled = opts.Disabled || off.Has(feature.FleetOutliers)
	return opts
}

// Membership determines who changes the members of the chain.
type Membership string

// With OperatorMembership operators change the members, with AutomaticMembership the control nodes do so themselves.
const (
	OperatorMembership  Membership = "command"
	AutomaticMembership Membership = "self"
)

// Quota bounds by how much the requests of a tenant, over all gateways, may exceed its limit. In every interval of WindowMs
// at most (rate x WindowMs + burst) x (1 + Overshoot) + Slack requests run. A WindowMs of 0 stands for 5 s.
type Quota struct {
	WindowMs  int64   `json:"windowMs,omitempty" validate:"min=0,max=3600000"`
	Overshoot float64 `json:"overshoot,omitempty" validate:"min=0,max=10"`
	Slack     float64 `json:"slack,omitempty" validate:"min=0"`
}

// Revocation determines what a gateway does if it has not heard from a current control node for WithinMs. If Closed is set,
// it refuses requests that need a key until it hears from one again; otherwise it continues with the last known keys.
type Revocation struct {
	Closed   bool  `json:"closed,omitempty"`
	WithinMs int64 `json:"withinMs,omitempty" validate:"required_if=Closed true,min=0,max=3600000"`
}

// Attempts determines what a gateway needs in order to send attempts: attempt numbers granted by the controller under a lease
// (on the declared platform), or only the configuration in force, with which a partitioned gateway continues (on the routed
// platform).
type Attempts string

// GrantedAttempts requires a lease, LeaselessAttempts only a configuration.
const (
	GrantedAttempts   Attempts = "granted"
	LeaselessAttempts Attempts = "declared"
)

// RetryBudget bounds the retries of all gateways together, for each service: in every interval of WindowMs at most Ratio
// times the number of its calls, plus Slack.
type RetryBudget struct {
	Ratio    float64 `json:"ratio,omitempty" validate:"min=0,max=10"`
	Slack    float64 `json:"slack,omitempty" validate:"min=0"`
	WindowMs int64   `json:"windowMs,omitempty" validate:"min=0,max=3600000"`
}

// FirstTokenTimeout determines how long callers of streaming routes wait for the first token: the maximum of MinMs,
// LatencyTargets times the route's latency target, and TokenGaps times the route's maximum gap between tokens.
type FirstTokenTimeout struct {
	MinMs          int64 `json:"leastMs,omitempty" validate:"min=0,max=3600000"`
	LatencyTargets int64 `json:"aims,omitempty" validate:"min=0,max=1000"`
	TokenGaps      int64 `json:"gaps,omitempty" validate:"min=0,max=1000"`
}

// Gateway holds the settings of a gateway. Times are in milliseconds, addresses have the form IP:port.
type Gateway struct {
	Name      string   `json:"name" validate:"required,max=64,hostname_rfc1123"`
	Listen    string   `json:"listen" validate:"required"`
	Advertise string   `json:"advertise"`
	Zone      string   `json:"zone" validate:"required,max=32"`
	Seeds     []string `json:"seeds" validate:"required,min=1,max=3,dive,required"`
	MaxQueue  int      `json:"backlogMax" validate:"min=1,max=100000"`
	MaxBodyKB int      `json:"bodyMaxKb" validate:"min=1,max=65536"`
	DrainMs   int64    `json:"drainMs" validate:"min=0,max=3600000"`

	Attempts    Attempts    `json:"legs,omitempty" validate:"omitempty,oneof=granted declared"`
	RetryBudget RetryBudget `json:"budget,omitempty"`
	// FirstTokenTimeout bounds how long callers of streaming routes wait for the first chunk.
	FirstTokenTimeout FirstTokenTimeout `json:"patience,omitempty"`
	// LingerMs is how long new connections are still accepted after SIGTERM, until clients no longer open them here.
	LingerMs int64 `json:"lingerMs,omitempty" validate:"min=0,max=3600000"`
	// MaxConnections is the maximum number of connections from this gateway to all replicas together.
	MaxConnections int `json:"connectionsMost,omitempty" validate:"min=0"`
	MemoryMB       int `json:"memoryMb,omitempty" validate:"min=0"`
	// Revocation determines how keys are treated while the gateway hears from no current control node.
	Revocation Revocation `json:"revocation,omitzero"`
	Outlier    Outlier    `json:"outlier,omitempty"`
	// Disable lists feature gates to disable, in order to measure the benefit of each mechanism.
	Disable feature.Disabled `json:"disable,omitempty"`
}

// Read decodes a settings file into v and keeps the values that the file does not set. Command line flags are applied later
// and take precedence. An empty path reads nothing.
func Read(path string, v any) *fault.Fault {
	if path == "" {
		return nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return fault.New(fault.BadSettings, path, "%v", err)
	}
	if err := yaml.UnmarshalStrict(raw, v); err != nil {
		return fault.New(fault.BadSettings, path, "%v", err)
	}
	return nil
}

// Check sets the advertised address if it is empty and returns all faults of the settings, or nil if there are none. It
// creates the data folder and writes a file there to check that it is writable.
func (c *ControlNode) Check() *fault.Fault {
	faults := configuration.Validate(fault.BadSettings, c)
	c.Advertise = checkAdvertised(faults, c.Listen, c.Advertise)
	checkAddresses(faults, c.Listen, c.Seeds)
	if c.Platform == "" && c.HeartbeatMs == 0 {
		faults.Addf(fault.BadSettings, "platform", "name the platform that lists replicas, or heartbeatMs where they make themselves known")
	}
	checkAddress(faults, "platform", c.Platform)
	if c.FoundingSize == 1 || c.FoundingSize == 2 {
		faults.Addf(fault.BadSettings, "founding", "a chain acknowledges on two copies and must survive a loss: found it with 3 or more")
	}
	if c.DataDir != "" {
		checkWritable(faults, c.DataDir)
	}
	checkDisabled(faults, c.Disable)
	return faults.Combined(fault.BadSettings)
}

// Check sets the advertised address if it is empty and returns all faults of the settings, or nil if there are none.
func (g *Gateway) Check() *fault.Fault {
	faults := configuration.Validate(fault.BadSettings, g)
	g.Advertise = checkAdvertised(faults, g.Listen, g.Advertise)
	checkAddresses(faults, g.Listen, g.Seeds)
	checkDisabled(faults, g.Disable)
	return faults.Combined(fault.BadSettings)
}

func checkDisabled(faults *fault.List, off feature.Disabled) {
	if bad := off.Check(); bad != nil {
		faults.Addf(bad.Code, bad.Field, "%s", bad.Detail)
	}
}

func checkAddresses(faults *fault.List, listen string, seeds []string) {
	checkAddress(faults, "listen", listen)
	for _, s := range seeds {
		checkAddress(faults, "seeds", s)
	}
}

// checkAdvertised returns the address that is advertised to peers, by default the listen address. It adds a fault for an
// unspecified IP address, which peers can't dial.
func checkAdvertised(faults *fault.List, listen, advertise string) string {
	if advertise == "" {
		advertise = listen
	}
	checkAddress(faults, "advertise", advertise)
	if host, _, err := net.SplitHostPort(advertise); err == nil && net.ParseIP(host).IsUnspecified() {
		faults.Addf(fault.BadSettings, "advertise", "%q cannot be dialled: advertise the IP that others reach", advertise)
	}
	return advertise
}

func checkAddress(faults *fault.List, field, addr string) {
	if addr == "" {
		return
	}
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		faults.Addf(fault.BadSettings, field, "%q is not IP:port", addr)
	}
}

// isTransient reports whether the error is a full quota, a full disk or an I/O error. Such a condition may pass and is no
// fault of the settings.
func isTransient(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EIO)
}

func checkWritable(faults *fault.List, folder string) {
	err := os.MkdirAll(folder, 0o755)
	probe := filepath.Join(folder, ".writable")
	if err == nil {
		err = os.WriteFile(probe, nil, 0o644)
	}
	if err == nil {
		err = os.Remove(probe)
	}
	if err != nil && !isTransient(err) {
		faults.Addf(fault.DataNotWritable, "data", "%v", err)
	}
}
