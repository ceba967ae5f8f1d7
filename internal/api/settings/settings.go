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

// ControlNode are the settings of a control node. Times are milliseconds, addresses IP:port.
type ControlNode struct {
	Name         string   `json:"name" validate:"required,max=64,hostname_rfc1123"`
	Listen       string   `json:"listen" validate:"required"`
	Advertise    string   `json:"advertise"`
	Zone         string   `json:"zone" validate:"required,max=32"`
	Seeds        []string `json:"seeds" validate:"required,min=1,max=3,dive,required"`
	DataDir      string   `json:"data" validate:"required"`
	Platform     string   `json:"platform"`
	FoundingSize int      `json:"founding" validate:"min=0,max=7"`

	// Founders are the control nodes that begin a new chain together, by address; in place of FoundingSize.
	Founders []string `json:"founders,omitempty" validate:"max=7"`
	// MinReplicas is how many synced copies an acknowledgement needs.
	MinReplicas int `json:"copiesLeast,omitempty" validate:"min=0,max=7"`
	// MinZones is in how many zones those copies must lie.
	MinZones int `json:"zonesLeast,omitempty" validate:"min=0,max=7"`
	// MinRegions is in how many regions those copies must lie; Regions names the region of each zone.
	MinRegions int               `json:"minRegions,omitempty" validate:"min=0,max=7"`
	Regions    map[string]string `json:"regions,omitempty"`
	// Membership says who changes the control nodes: operators by command, or the control nodes themselves, that take in
	// an empty one in the place of one that is silent.
	Membership Membership `json:"members,omitempty" validate:"omitempty,oneof=command self"`
	// LeaseMs is how long replicas hold to one who orders them after its last order.
	LeaseMs        int64   `json:"leaseMs,omitempty" validate:"min=0,max=3600000"`
	HeartbeatMs    int64   `json:"heartbeatMs,omitempty" validate:"min=0,max=3600000"`
	StoreWindowMs  int64   `json:"storeWindowMs,omitempty" validate:"min=0,max=3600000"`
	StoreOvershoot float64 `json:"storeOvershoot,omitempty" validate:"min=0,max=10"`
	MemoryMB       int     `json:"memoryMb,omitempty" validate:"min=0"`
	// HandoverTimeoutMs is how long a control node that is told to end waits for others to take its seat and vote over.
	HandoverTimeoutMs int64 `json:"leaveMs,omitempty" validate:"min=0,max=3600000"`
	// Quota bounds what tenants with a limit may run beyond it.
	Quota   Quota   `json:"quota,omitzero"`
	Outlier Outlier `json:"outlier,omitempty"`
	// Disable names mechanisms to switch off, to measure what they are worth.
	Disable feature.Disabled `json:"disable,omitempty"`
}

// Outlier bounds the verdicts on replicas by what became of their attempts; what is left out is as usual.
// MaxEjectedShare of a service's replicas may be kept off at once; FalsePositiveMs is the time in which a sound one may be
// suspected once; EjectionMs is its first time out, which doubles up to MaxEjectionMs. CountOnly counts and ejects nobody.
type Outlier struct {
	MaxEjectedShare float64 `json:"mostShare,omitempty" validate:"min=0,max=1"`
	FalsePositiveMs int64   `json:"falseMs,omitempty" validate:"min=0,max=86400000"`
	EjectionMs      int64   `json:"outMs,omitempty" validate:"min=0,max=3600000"`
	MaxEjectionMs   int64   `json:"outMostMs,omitempty" validate:"min=0,max=3600000"`
	CountOnly       bool    `json:"off,omitempty"`
}

// Options are these bounds in microseconds.
func (o Outlier) Options() outlier.Options {
	return outlier.Options{MaxEjectedFraction: o.MaxEjectedShare, FalseEjectionIntervalUs: o.FalsePositiveMs * clock.Ms, BaseEjectionUs: o.EjectionMs * clock.Ms, MaxEjectionUs: o.MaxEjectionMs * clock.Ms, Disabled: o.CountOnly}
}

// OptionsWithout are these bounds with mechanisms switched off.
func (o Outlier) OptionsWithout(off feature.Disabled) outlier.Options {
	opts := o.Options()
	opts.Disabled = opts.Disabled || off.Has(feature.FleetOutliers)
	return opts
}

// Membership says who changes the members of the chain.
type Membership string

// OperatorMembership leaves it to operators, AutomaticMembership to the control nodes themselves.
const (
	OperatorMembership  Membership = "command"
	AutomaticMembership Membership = "self"
)

// Quota says how far the requests of a tenant that all gateways run may exceed its limit: in every span of WindowMs at most
// (rate x WindowMs + burst) x (1 + Overshoot) + Slack. A WindowMs of 0 stands for 5 s.
type Quota struct {
	WindowMs  int64   `json:"windowMs,omitempty" validate:"min=0,max=3600000"`
	Overshoot float64 `json:"overshoot,omitempty" validate:"min=0,max=10"`
	Slack     float64 `json:"slack,omitempty" validate:"min=0"`
}

// Revocation says what a gateway does that has not heard from a current control node for WithinMs: with Closed it refuses
// requests that need a key until it hears again, else it goes on with the keys that it last knew.
type Revocation struct {
	Closed   bool  `json:"closed,omitempty"`
	WithinMs int64 `json:"withinMs,omitempty" validate:"required_if=Closed true,min=0,max=3600000"`
}

// Attempts says what a gateway needs in order to send: attempt numbers that the controller granted under a lease (the
// declared platform), or nothing but the configuration in force, with which a gateway that is cut off goes on (the routed one).
type Attempts string

// GrantedAttempts want a lease, LeaselessAttempts only a configuration.
const (
	GrantedAttempts   Attempts = "granted"
	LeaselessAttempts Attempts = "declared"
)

// RetryBudget bounds the further attempts of all gateways together, for each service: Ratio of its calls plus Slack in
// every span of WindowMs.
type RetryBudget struct {
	Ratio    float64 `json:"ratio,omitempty" validate:"min=0,max=10"`
	Slack    float64 `json:"slack,omitempty" validate:"min=0"`
	WindowMs int64   `json:"windowMs,omitempty" validate:"min=0,max=3600000"`
}

// FirstTokenTimeout is how long callers of streaming routes wait for the first token: the longest of MinMs, LatencyTargets
// times the route's latency target and TokenGaps times its longest gap between tokens.
type FirstTokenTimeout struct {
	MinMs          int64 `json:"leastMs,omitempty" validate:"min=0,max=3600000"`
	LatencyTargets int64 `json:"aims,omitempty" validate:"min=0,max=1000"`
	TokenGaps      int64 `json:"gaps,omitempty" validate:"min=0,max=1000"`
}

// Gateway are the settings of a gateway. Times are milliseconds, addresses IP:port.
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
	// FirstTokenTimeout is how long callers of streaming routes wait for a first piece.
	FirstTokenTimeout FirstTokenTimeout `json:"patience,omitempty"`
	// LingerMs is how long new connections are still taken after SIGTERM, until nobody sends them here.
	LingerMs int64 `json:"lingerMs,omitempty" validate:"min=0,max=3600000"`
	// MaxConnections bounds this gateway's connections to all replicas together.
	MaxConnections int `json:"connectionsMost,omitempty" validate:"min=0"`
	MemoryMB       int `json:"memoryMb,omitempty" validate:"min=0"`
	// Revocation is what becomes of keys while no current control node is heard.
	Revocation Revocation `json:"revocation,omitzero"`
	Outlier    Outlier    `json:"outlier,omitempty"`
	// Disable names mechanisms to switch off, to measure what they are worth.
	Disable feature.Disabled `json:"disable,omitempty"`
}

// Read lays a settings file over what v holds; a flag given on the command line is laid on later.
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

// Check fills in the advertised address and returns all that is wrong, nil for nothing. It tries whether the data folder
// takes a file.
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

// Check fills in the advertised address and returns all that is wrong, nil for nothing.
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

// checkAdvertised is the address that others are told; they cannot dial one that stands for all.
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

// isTransient: the disk takes nothing now, which is no fault of the settings and may pass.
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
