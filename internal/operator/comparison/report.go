package comparison

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/statistics"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

type figure struct {
	name string
	unit string
	of   func(k *scheduling.KindCounters, mostMs float64) float64
}

func share(part func(*scheduling.KindCounters) uint64) func(*scheduling.KindCounters, float64) float64 {
	return func(k *scheduling.KindCounters, _ float64) float64 {
		return 100 * float64(part(k)) / float64(max(1, k.Completed+k.Expired+k.Rejected+k.Broken))
	}
}

var figures = []figure{
	{"first piece p50", "ms", first(0.5)},
	{"first piece p95", "ms", first(0.95)},
	{"ended", "% of calls", share(func(k *scheduling.KindCounters) uint64 { return k.Completed })},
	{"expired", "% of calls", share(func(k *scheduling.KindCounters) uint64 { return k.Expired })},
	{"refused", "% of calls", share(func(k *scheduling.KindCounters) uint64 { return k.Rejected })},
	{"broken", "% of calls", share(func(k *scheduling.KindCounters) uint64 { return k.Broken })},
	{"apart", "% of taken", func(k *scheduling.KindCounters, _ float64) float64 {
		return 100 * float64(k.Spanned+k.InFlight()) / float64(max(1, k.Received))
	}},
}

// first holds a call without a first piece by the end of its window to be as slow as the window is long.
func first(part float64) func(*scheduling.KindCounters, float64) float64 {
	return func(k *scheduling.KindCounters, mostMs float64) float64 {
		return k.FirstByte.QuantileMs(part, k.Unserved+k.InFlight(), mostMs)
	}
}

// Row is one figure of one kind, its values in the order of the clean pairs.
type Row struct {
	Kind, What, Unit string
	First, Second    []float64
}

// Diff is the second policy's figure less the first's, over the pairs.
func (r Row) Diff() statistics.PairedDifference { return statistics.Paired(r.First, r.Second) }

// Pairs are the pairs of windows of which neither is spoilt or unread, first policy first.
func (r Result) Pairs() [][2]Window {
	pairs := [][2]Window{}
	for i := 0; i+1 < len(r.Windows); i += 2 {
		a, b := r.Windows[i], r.Windows[i+1]
		if a.Policy == 1 {
			a, b = b, a
		}
		if a.Spoilt == "" && b.Spoilt == "" && a.read && b.read {
			pairs = append(pairs, [2]Window{a, b})
		}
	}
	return pairs
}

// Rows are all figures of all kinds of request, and the loads, over the clean pairs.
func (r Result) Rows() []Row {
	pairs := r.Pairs()
	kinds := map[string]bool{}
	for _, p := range pairs {
		for _, w := range p {
			for kind := range w.Kinds {
				kinds[kind] = true
			}
		}
	}
	rows := []Row{}
	for _, kind := range sortedKeys(kinds) {
		for _, f := range figures {
			row := Row{Kind: kind, What: f.name, Unit: f.unit}
			for _, p := range pairs {
				a, b := p[0].Kinds[kind], p[1].Kinds[kind]
				if a == nil || b == nil || a.Received == 0 || b.Received == 0 {
					continue
				}
				mostMs := r.Options.Window.Seconds() * 1000
				row.First, row.Second = append(row.First, f.of(a, mostMs)), append(row.Second, f.of(b, mostMs))
			}
			rows = append(rows, row)
		}
	}
	loads, loaded := Row{Kind: "layout", What: "loads"}, Row{Kind: "layout", What: "loaded", Unit: "GB"}
	for _, p := range pairs {
		loads.First, loads.Second = append(loads.First, float64(p[0].Loads)), append(loads.Second, float64(p[1].Loads))
		loaded.First, loaded.Second = append(loaded.First, float64(p[0].LoadedMb)/1024), append(loaded.Second, float64(p[1].LoadedMb)/1024)
	}
	return append(rows, loads, loaded)
}

// Report prints the demand beside each window, then the paired differences.
func Report(w io.Writer, r Result) {
	names := []string{r.Options.First.Name, r.Options.Second.Name}
	fmt.Fprintf(w, "%-7s %-16s %-9s %s\n", "window", "policy", "revision", "calls a second by kind; spanned a change or still open apart")
	for _, win := range r.Windows {
		text := []string{}
		for _, kind := range sortedKeys(win.Kinds) {
			k := win.Kinds[kind]
			part := fmt.Sprintf("%s %.1f", kind, float64(k.Received)/r.Options.Window.Seconds())
			if k.Spanned+k.InFlight() > 0 {
				part += fmt.Sprintf(" (apart: %d)", k.Spanned+k.InFlight())
			}
			text = append(text, part)
		}
		if win.Spoilt != "" {
			text = append(text, "SPOILT: "+win.Spoilt)
		}
		fmt.Fprintf(w, "%-7d %-16s %-9d %s\n", win.Number, names[win.Policy], win.Revision, strings.Join(text, ", "))
	}
	pairs := len(r.Pairs())
	fmt.Fprintf(w, "\n%s against %s, %d clean pairs of %d\n", names[1], names[0], pairs, r.Options.Windows/2)
	if pairs < 2 {
		fmt.Fprintln(w, "too few to see a difference: two or more are needed")
		return
	}
	fmt.Fprintf(w, "%-16s %-16s %10s %10s   %s\n", "kind", "figure", names[0], names[1], "difference (19 times in 20)")
	for _, row := range r.Rows() {
		if len(row.First) == 0 {
			continue
		}
		said := "no difference seen"
		if d := row.Diff(); d.Significant() {
			said = fmt.Sprintf("%+.1f (%+.1f to %+.1f) %s", d.Mean, d.Low, d.High, row.Unit)
		}
		fmt.Fprintf(w, "%-16s %-16s %10.1f %10.1f   %s\n", row.Kind, row.What, statistics.Mean(row.First), statistics.Mean(row.Second), said)
	}
	fmt.Fprintln(w, "of twenty figures of two equal policies about one may be named by chance")
}
