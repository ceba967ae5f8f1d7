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
	Name      string   `json:"name" validate:"required,max=64,hostname_rfc1123"`
	Listen    string   `json:"listen" validate:"required"`
	Advertise string   `json:"advertise"`
	Zone      string   `json:"zone" validate:"required,max=32"`
	Seeds     []string `json:"seeds" validate:"required,min=1,max=3,dive,required"`
	Data      string   `json:"data" validate:"required"`
	Platform  string   `json:"platform"`
	Founding  int      `json:"founding" validate:"min=0,max=7"`

	// Founders are the control nodes that begin a new chain together, by address; in place of Founding.
	Founders []string `json:"founders,omitempty" validate:"max=7"`
	// CopiesLeast is how many synced copies an acknowledgement needs.
	CopiesLeast int `json:"copiesLeast,omitempty" validate:"min=0,max=7"`
	// ZonesLeast is in how many zones those copies must lie.
	ZonesLeast int `json:"zonesLeast,omitempty" validate:"min=0,max=7"`
	// Members says who changes the control nodes: operators by command, or the control nodes themselves, that take in
	// an empty one in the place of one that is silent.
	Members Members `json:"members,omitempty" validate:"omitempty,oneof=command self"`
	// LeaseMs is how long replicas hold to one who orders them after its last order.
	LeaseMs        int64   `json:"leaseMs,omitempty" validate:"min=0,max=3600000"`
	HeartbeatMs    int64   `json:"heartbeatMs,omitempty" validate:"min=0,max=3600000"`
	StoreWindowMs  int64   `json:"storeWindowMs,omitempty" validate:"min=0,max=3600000"`
	StoreOvershoot float64 `json:"storeOvershoot,omitempty" validate:"min=0,max=10"`
	MemoryMb       int     `json:"memoryMb,omitempty" validate:"min=0"`
	// LeaveMs is how long a control node that is told to end waits for others to take its seat and vote over.
	LeaveMs int64   `json:"leaveMs,omitempty" validate:"min=0,max=3600000"`
	Outlier Outlier `json:"outlier,omitempty"`
	// Disable names mechanisms to switch off, to measure what they are worth.
	Disable feature.Off `json:"disable,omitempty"`
}

// Outlier bounds the verdicts on replicas by what became of their attempts; what is left out is as usual.
// MostShare of a service's replicas may be kept off at once; FalseMs is the time in which a sound one may be
// suspected once; OutMs is its first time out, which doubles up to OutMostMs. Off only counts.
type Outlier struct {
	MostShare float64 `json:"mostShare,omitempty" validate:"min=0,max=1"`
	FalseMs   int64   `json:"falseMs,omitempty" validate:"min=0,max=86400000"`
	OutMs     int64   `json:"outMs,omitempty" validate:"min=0,max=3600000"`
	OutMostMs int64   `json:"outMostMs,omitempty" validate:"min=0,max=3600000"`
	Off       bool    `json:"off,omitempty"`
}

// Options are these bounds in microseconds.
func (o Outlier) Options() outlier.Options {
	return outlier.Options{MostShare: o.MostShare, FalseUs: o.FalseMs * clock.Ms, OutUs: o.OutMs * clock.Ms, OutMostUs: o.OutMostMs * clock.Ms, Off: o.Off}
}

// OptionsWithout are these bounds with mechanisms switched off.
func (o Outlier) OptionsWithout(off feature.Off) outlier.Options {
	opts := o.Options()
	opts.Off = opts.Off || off.Has(feature.FleetOutliers)
	return opts
}

// Members says who changes the members of the chain.
type Members string

// CommandMembers leaves it to operators, SelfMembers to the control nodes themselves.
const (
	CommandMembers Members = "command"
	SelfMembers    Members = "self"
)

// Attempts says by which ticket a gateway sends: numbers that the controller granted under a lease, or the
// declaration in force as a standing ticket, which a gateway cut off from the core goes on with.
type Attempts string

// GrantedAttempts want a lease, DeclaredAttempts only a configuration.
const (
	GrantedAttempts  Attempts = "granted"
	DeclaredAttempts Attempts = "declared"
)

// Budget bounds the further attempts of all gateways together, for each service: Ratio of its calls plus Slack in
// every span of WindowMs.
type Budget struct {
	Ratio    float64 `json:"ratio,omitempty" validate:"min=0,max=10"`
	Slack    float64 `json:"slack,omitempty" validate:"min=0"`
	WindowMs int64   `json:"windowMs,omitempty" validate:"min=0,max=3600000"`
}

// Patience is how long callers of streaming routes wait for a first piece: the longest of LeastMs, Aims times
// the route's aim and Gaps times its longest gap.
type Patience struct {
	LeastMs int64 `json:"leastMs,omitempty" validate:"min=0,max=3600000"`
	Aims    int64 `json:"aims,omitempty" validate:"min=0,max=1000"`
	Gaps    int64 `json:"gaps,omitempty" validate:"min=0,max=1000"`
}

// Gateway are the settings of a gateway. Times are milliseconds, addresses IP:port.
type Gateway struct {
	Name      string   `json:"name" validate:"required,max=64,hostname_rfc1123"`
	Listen    string   `json:"listen" validate:"required"`
	Advertise string   `json:"advertise"`
	Zone      string   `json:"zone" validate:"required,max=32"`
	Seeds     []string `json:"seeds" validate:"required,min=1,max=3,dive,required"`
	QueueMax  int      `json:"backlogMax" validate:"min=1,max=100000"`
	BodyMaxKb int      `json:"bodyMaxKb" validate:"min=1,max=65536"`
	DrainMs   int64    `json:"drainMs" validate:"min=0,max=3600000"`

	Attempts Attempts `json:"legs,omitempty" validate:"omitempty,oneof=granted declared"`
	Budget   Budget   `json:"budget,omitempty"`
	// Patience is how long callers of streaming routes wait for a first piece.
	Patience Patience `json:"patience,omitempty"`
	// LingerMs is how long new connections are still taken after SIGTERM, until nobody sends them here.
	LingerMs int64 `json:"lingerMs,omitempty" validate:"min=0,max=3600000"`
	// ConnectionsMost bounds this gateway's connections to all replicas together.
	ConnectionsMost int     `json:"connectionsMost,omitempty" validate:"min=0"`
	MemoryMb        int     `json:"memoryMb,omitempty" validate:"min=0"`
	Outlier         Outlier `json:"outlier,omitempty"`
	// Disable names mechanisms to switch off, to measure what they are worth.
	Disable feature.Off `json:"disable,omitempty"`
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
func (o *ControlNode) Check() *fault.Fault {
	sheet := configuration.Struct(fault.BadSettings, o)
	o.Advertise = reached(sheet, o.Listen, o.Advertise)
	addresses(sheet, o.Listen, o.Seeds)
	if o.Platform == "" && o.HeartbeatMs == 0 {
		sheet.Note(fault.BadSettings, "platform", "name the platform that lists replicas, or heartbeatMs where they make themselves known")
	}
	address(sheet, "platform", o.Platform)
	if o.Founding == 1 || o.Founding == 2 {
		sheet.Note(fault.BadSettings, "founding", "a chain acknowledges on two copies and must survive a loss: found it with 3 or more")
	}
	if o.Data != "" {
		writable(sheet, o.Data)
	}
	mechanisms(sheet, o.Disable)
	return sheet.As(fault.BadSettings)
}

// Check fills in the advertised address and returns all that is wrong, nil for nothing.
func (d *Gateway) Check() *fault.Fault {
	sheet := configuration.Struct(fault.BadSettings, d)
	d.Advertise = reached(sheet, d.Listen, d.Advertise)
	addresses(sheet, d.Listen, d.Seeds)
	mechanisms(sheet, d.Disable)
	return sheet.As(fault.BadSettings)
}

func mechanisms(sheet *fault.Sheet, off feature.Off) {
	if bad := off.Check(); bad != nil {
		sheet.Note(bad.Code, bad.Field, "%s", bad.Detail)
	}
}

func addresses(sheet *fault.Sheet, listen string, seeds []string) {
	address(sheet, "listen", listen)
	for _, s := range seeds {
		address(sheet, "seeds", s)
	}
}

// reached is the address that others are told; they cannot dial one that stands for all.
func reached(sheet *fault.Sheet, listen, advertise string) string {
	if advertise == "" {
		advertise = listen
	}
	address(sheet, "advertise", advertise)
	if host, _, err := net.SplitHostPort(advertise); err == nil && net.ParseIP(host).IsUnspecified() {
		sheet.Note(fault.BadSettings, "advertise", "%q cannot be dialled: advertise the IP that others reach", advertise)
	}
	return advertise
}

func address(sheet *fault.Sheet, field, addr string) {
	if addr == "" {
		return
	}
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		sheet.Note(fault.BadSettings, field, "%q is not IP:port", addr)
	}
}

// waits: the disk takes nothing now, which is no fault of the settings and may pass.
func waits(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EIO)
}

func writable(sheet *fault.Sheet, folder string) {
	err := os.MkdirAll(folder, 0o755)
	probe := filepath.Join(folder, ".writable")
	if err == nil {
		err = os.WriteFile(probe, nil, 0o644)
	}
	if err == nil {
		err = os.Remove(probe)
	}
	if err != nil && !waits(err) {
		sheet.Note(fault.DataUnwritable, "data", "%v", err)
	}
}
