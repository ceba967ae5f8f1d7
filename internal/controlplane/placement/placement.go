package placement

import (
	"strings"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/scaler"
	"petreltide/internal/controlplane/statemachine"
)

// Limits of one policy run: interpreter steps, proposals returned, and elapsed time.
const (
	MaxSteps     = 3_000_000
	MaxProposals = 64
	MaxRunTime   = 400 * time.Millisecond
)

// maxReasonBytes is the length in bytes to which the reason that a policy gives for a proposal is truncated.
const maxReasonBytes = 200

// Proposal is one load or unload that a policy requests. Unit is a model, or an adapter as model/adapter.
type Proposal struct {
	Step    statemachine.Action `json:"step"`
	Replica string              `json:"replica"`
	Unit    string              `json:"unit"`
	Why     string              `json:"why,omitempty"`
	// For is the unit for which an unload frees capacity.
	For string `json:"for,omitempty"`
}

// Replica is one replica as presented to a policy. Sizes are in MB; InFlight is the number of requests running on the replica.
type Replica struct {
	ID         string
	Zone       string
	CapacityMb int64
	FreeMb     int64
	Slots      int
	Units      []string
	Loading    string
	Usable     bool
	Busy       bool
	InFlight   int
}

// Fleet is the complete input of a policy: the declaration, the scaler's replica counts, the arrival rate per second
// and the number of waiting requests by model or adapter, and the replicas.
type Fleet struct {
	Doc      *configuration.Declaration
	Counts   []scaler.Count
	Rates    map[string]float64
	Waiting  map[string]int
	Replicas []Replica
}

// RunResult is the outcome of a policy run: the proposals, or the fault that ended the run, and the number of
// interpreter steps executed.
type RunResult struct {
	Policy    string
	Proposals []Proposal
	Fault     *fault.Fault
	Steps     uint64
}

// dialect is the set of Starlark language options for policies.
var dialect = &syntax.FileOptions{Set: true, While: true, TopLevelControl: true, GlobalReassign: true}

// newThread returns an interpreter thread that is limited to MaxSteps and discards printed output.
func newThread(name string) *starlark.Thread {
	t := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	t.SetMaxExecutionSteps(MaxSteps)
	return t
}

// Compile checks a policy's source without calling its propose function. It returns nil if the policy can be used.
func Compile(name, source string) *fault.Fault {
	_, program, err := starlark.SourceProgramOptions(dialect, name+".star", source, func(string) bool { return false })
	if err != nil {
		return fault.New(fault.PolicyCompile, name, "%v", err)
	}
	globals, err := program.Init(newThread(name), nil)
	if err != nil {
		return fault.New(fault.PolicyCompile, name, "%v", err)
	}
	fn, ok := globals["propose"].(*starlark.Function)
	if !ok {
		return fault.New(fault.PolicyCompile, name, "it defines no function propose(fleet)")
	}
	if fn.NumParams() != 1 {
		return fault.New(fault.PolicyCompile, name, "propose takes %d parameters, wants 1", fn.NumParams())
	}
	return nil
}

// Run executes a policy and returns its proposals. The result is deterministic except for the time limit, which can
// only replace the result by a typed fault.
func Run(p configuration.Policy, fleet Fleet) (answer RunResult) {
	answer.Policy = p.Name
	t := newThread(p.Name)
	timer := time.AfterFunc(MaxRunTime, func() { t.Cancel("time cap") })
	defer timer.Stop()
	defer func() {
		answer.Steps = t.ExecutionSteps()
		if r := recover(); r != nil {
			answer.Fault = fault.New(fault.PolicyFailed, p.Name, "%v", r)
		}
	}()
	globals, err := starlark.ExecFileOptions(dialect, t, p.Name+".star", p.Source, nil)
	if err != nil {
		answer.Fault = runFault(p.Name, err)
		return answer
	}
	propose, ok := globals["propose"]
	if !ok {
		answer.Fault = fault.New(fault.PolicyCompile, p.Name, "it defines no function propose(fleet)")
		return answer
	}
	view := fleet.toStarlark()
	view.Freeze()
	result, err := starlark.Call(t, propose, starlark.Tuple{view}, nil)
	if err != nil {
		answer.Fault = runFault(p.Name, err)
		return answer
	}
	answer.Proposals, answer.Fault = parseAnswer(p.Name, result)
	return answer
}

// runFault converts an interpreter error to PolicyLimit if the step or time limit was exceeded, else to PolicyFailed.
func runFault(name string, err error) *fault.Fault {
	text := err.Error()
	if strings.Contains(text, "too many steps") || strings.Contains(text, "time cap") {
		return fault.New(fault.PolicyLimit, name, "%s", text)
	}
	return fault.New(fault.PolicyFailed, name, "%s", text)
}

// parseAnswer converts a policy's return value, a list of dicts, to proposals.
func parseAnswer(name string, result starlark.Value) ([]Proposal, *fault.Fault) {
	list, ok := result.(*starlark.List)
	if !ok {
		return nil, fault.New(fault.PolicyInvalidResult, name, "propose returned %s, wants a list", result.Type())
	}
	if list.Len() > MaxProposals {
		return nil, fault.New(fault.PolicyLimit, name, "%d proposals, at most %d", list.Len(), MaxProposals)
	}
	proposals := []Proposal{}
	for i := 0; i < list.Len(); i++ {
		d, ok := list.Index(i).(*starlark.Dict)
		if !ok {
			return nil, fault.New(fault.PolicyInvalidResult, name, "proposal %d is %s, wants a dict", i, list.Index(i).Type())
		}
		p, f := parseProposal(name, i, d)
		if f != nil {
			return nil, f
		}
		proposals = append(proposals, p)
	}
	return proposals, nil
}

// parseProposal converts one dict of a policy's return value to a proposal; i is its index for error messages.
func parseProposal(name string, i int, d *starlark.Dict) (p Proposal, f *fault.Fault) {
	for _, item := range d.Items() {
		key, okKey := starlark.AsString(item[0])
		value, okValue := starlark.AsString(item[1])
		if !okKey || !okValue {
			return p, fault.New(fault.PolicyInvalidResult, name, "proposal %d: keys and values are strings", i)
		}
		switch key {
		case "step":
			p.Step = statemachine.Action(value)
		case "replica":
			p.Replica = value
		case "unit":
			p.Unit = value
		case "why":
			p.Why = value[:min(len(value), maxReasonBytes)]
		default:
			return p, fault.New(fault.PolicyInvalidResult, name, "proposal %d: unknown key %q", i, key)
		}
	}
	return p, nil
}

// toStarlark returns the fleet as the dict that is passed to a policy's propose function.
func (f Fleet) toStarlark() *starlark.Dict {
	str := func(s string) starlark.Value { return starlark.String(s) }
	num := func(n int64) starlark.Value { return starlark.MakeInt64(n) }
	counts, models, adapters := starlark.NewDict(0), starlark.NewDict(0), starlark.NewDict(0)
	for _, c := range f.Counts {
		_ = counts.SetKey(str(c.Model), num(int64(c.Replicas)))
	}
	for _, m := range f.Doc.Models {
		_ = models.SetKey(str(m.Name), newDict("size", num(m.SizeMB), "load_ms", num(m.LoadMs), "weight", num(int64(m.Weight)),
			"rate", starlark.Float(f.Rates[m.Name]), "waiting", num(int64(f.Waiting[m.Name]))))
	}
	for _, a := range f.Doc.Adapters {
		_ = adapters.SetKey(str(a.Name), newDict("model", str(a.Model), "size", num(a.SizeMB), "load_ms", num(a.LoadMs),
			"rate", starlark.Float(f.Rates[a.Name]), "waiting", num(int64(f.Waiting[a.Name]))))
	}
	replicas := []starlark.Value{}
	for _, r := range f.Replicas {
		holds := []starlark.Value{}
		for _, h := range r.Units {
			holds = append(holds, str(h))
		}
		replicas = append(replicas, newDict("id", str(r.ID), "zone", str(r.Zone), "room", num(r.CapacityMb), "free", num(r.FreeMb),
			"slots", num(int64(r.Slots)), "holds", starlark.NewList(holds), "loading", str(r.Loading),
			"usable", starlark.Bool(r.Usable), "busy", starlark.Bool(r.Busy), "in_flight", num(int64(r.InFlight))))
	}
	return newDict("counts", counts, "models", models, "adapters", adapters, "replicas", starlark.NewList(replicas))
}

// newDict returns a dict of alternating string keys and Starlark values.
func newDict(pairs ...any) *starlark.Dict {
	d := starlark.NewDict(len(pairs) / 2)
	for i := 0; i < len(pairs); i += 2 {
		_ = d.SetKey(starlark.String(pairs[i].(string)), pairs[i+1].(starlark.Value))
	}
	return d
}
