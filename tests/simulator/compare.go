package simulator

import (
	"fmt"
	"io"
	"sort"
	"sync"

	"petreltide/internal/api/configuration"
	"petreltide/internal/statistics"
	"petreltide/tests/rules"
)

// PolicyComparison is what Hold plays: policies on the same seeds of demand and faults.
type PolicyComparison struct {
	Declaration    *configuration.Declaration
	Policies       []configuration.Policy
	Seeds          []int64
	DurationUs     int64
	CallsPerSecond float64
	Faults         int
	Gateways       int
	Replicas       int
}

// Figure is one measurement of one kind of call; Values are by policy, in the order of the seeds.
type Figure struct {
	Kind   string
	What   string
	Unit   string
	Values map[string][]float64
}

// ComparePolicies plays every policy on the same demand and faults, seed by seed, and returns each figure
// in the order of the seeds.
func ComparePolicies(c PolicyComparison) ([]Figure, []rules.Breach) {
	type cell struct {
		policy string
		seed   int
		out    DeclaredOutcome
	}
	cells := make([]cell, 0, len(c.Policies)*len(c.Seeds))
	for _, p := range c.Policies {
		for i := range c.Seeds {
			cells = append(cells, cell{policy: p.Name, seed: i})
		}
	}
	var group sync.WaitGroup
	slots := make(chan struct{}, 8)
	for i := range cells {
		policy := c.Policies[i/len(c.Seeds)]
		group.Add(1)
		go func() {
			defer group.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			doc := clone(*c.Declaration)
			doc.Policy, doc.Shadows = policy, nil
			seed := c.Seeds[cells[i].seed]
			cells[i].out = RunDeclaredWithBaseline(DeclaredPlan{Seed: seed, ControlNodes: 3, Gateways: c.Gateways, Replicas: c.Replicas, DurationUs: c.DurationUs, CallsPerSecond: c.CallsPerSecond,
				Faults: comparisonFaults(seed, c.Faults, c.DurationUs), Doc: &doc, UseDeclaredReplicas: true})
		}()
	}
	group.Wait()
	var breaches []rules.Breach
	byKey := map[string]*Figure{}
	keys := []string{}
	put := func(kind, what, unit, policy string, seed int, value float64) {
		key := kind + "|" + what
		f := byKey[key]
		if f == nil {
			f = &Figure{Kind: kind, What: what, Unit: unit, Values: map[string][]float64{}}
			byKey[key] = f
			keys = append(keys, key)
		}
		if f.Values[policy] == nil {
			f.Values[policy] = make([]float64, len(c.Seeds))
		}
		f.Values[policy][seed] = value
	}
	for _, cell := range cells {
		breaches = append(breaches, cell.out.Breaches...)
		for _, k := range c.Declaration.Kinds {
			firsts := []float64{}
			counts := map[string]float64{}
			for _, t := range cell.out.Results {
				if t.Kind != k.Name || t.Code == "hung up" {
					continue
				}
				counts["calls"]++
				switch {
				case t.Complete:
					counts["ended"]++
					firsts = append(firsts, float64(t.FirstUs-t.StartUs)/1000)
				case t.Code == "expired":
					counts["expired"]++
				case t.Run == "none":
					counts["refused"]++
				default:
					counts["broken"]++
				}
			}
			sort.Float64s(firsts)
			at := func(p float64) float64 {
				if len(firsts) == 0 {
					return 0
				}
				return firsts[min(len(firsts)-1, int(float64(len(firsts))*p))]
			}
			put(k.Name, "first piece p50", "ms", cell.policy, cell.seed, at(0.5))
			put(k.Name, "first piece p95", "ms", cell.policy, cell.seed, at(0.95))
			for _, what := range []string{"ended", "expired", "refused", "broken"} {
				put(k.Name, what, "% of calls", cell.policy, cell.seed, 100*counts[what]/max(1, counts["calls"]))
			}
		}
		put("layout", "loads", "", cell.policy, cell.seed, float64(cell.out.Loads))
		put("layout", "loaded", "GB", cell.policy, cell.seed, float64(cell.out.LoadMb)/1024)
	}
	figures := []Figure{}
	for _, key := range keys {
		figures = append(figures, *byKey[key])
	}
	return figures, breaches
}

// comparisonFaults are those a policy can answer: replicas lost, noticed and replaced, and crowds.
func comparisonFaults(seed int64, count int, durationUs int64) []Fault {
	faults := []Fault{}
	if count == 0 {
		return faults
	}
	for _, f := range DrawDeclaredFaults(seed, count, durationUs) {
		f.Kind = []string{"crash-replica", "notice", "crowd", "notice"}[f.B%4]
		faults = append(faults, f)
	}
	return faults
}

// Report writes the figures of each policy beside the first one's, and says where the spread of
// the paired differences leaves no difference to be seen.
func Report(w io.Writer, c PolicyComparison, figures []Figure) {
	first := c.Policies[0].Name
	for _, p := range c.Policies[1:] {
		fmt.Fprintf(w, "%s against %s, %d paired seeds\n", p.Name, first, len(c.Seeds))
		fmt.Fprintf(w, "%-16s %-16s %10s %10s   %s\n", "kind", "figure", first, p.Name, "difference (19 times in 20)")
		for _, f := range figures {
			d := statistics.Paired(f.Values[first], f.Values[p.Name])
			said := "no difference seen"
			if d.Significant() {
				said = fmt.Sprintf("%+.1f (%+.1f to %+.1f) %s", d.Mean, d.Low, d.High, f.Unit)
			}
			fmt.Fprintf(w, "%-16s %-16s %10.1f %10.1f   %s\n", f.Kind, f.What, statistics.Mean(f.Values[first]), statistics.Mean(f.Values[p.Name]), said)
		}
	}
}
