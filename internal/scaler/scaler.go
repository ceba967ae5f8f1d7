package scaler

import (
	"sort"

	"petreltide/internal/standing"
)

// Room is one replica and how much it holds.
type Room struct {
	ID     string
	RoomMb int64
}

// Input is what the counts depend on: calls a second and calls waiting by model, and the replicas that can be used.
type Input struct {
	Doc     *standing.Declaration
	Rates   map[string]float64
	Waiting map[string]int
	Usable  []Room
}

// Count is how many replicas a model gets, and Wanted how many it would get if there were room. PerSecond and LatencyMs
// are those of the table at Replicas; Covers says that they bear the rate.
type Count struct {
	Model     string  `json:"model"`
	Replicas  int     `json:"replicas"`
	Wanted    int     `json:"wanted"`
	Rate      float64 `json:"rate"`
	PerSecond float64 `json:"perSecond"`
	LatencyMs int64   `json:"latencyMs"`
	Covers    bool    `json:"covers"`
}

const backlogSeconds = 10.0

// Choose is the source's rule for one model over counts 1..most: lowest latency among those
// that cover the rate, fewer replicas when latencies are similar, and the most throughput
// when nothing covers.
func Choose(table []standing.Point, rate float64, most, similarPct int) (standing.Point, bool) {
	most = min(most, len(table))
	if most < 1 {
		return standing.Point{}, false
	}
	var best *standing.Point
	for i := range table[:most] {
		p := &table[i]
		if p.PerSecond >= rate && (best == nil || p.LatencyMs < best.LatencyMs) {
			best = p
		}
	}
	if best == nil {
		best = &table[0]
		for i := range table[:most] {
			if table[i].PerSecond > best.PerSecond {
				best = &table[i]
			}
		}
		return *best, false
	}
	limitMs := best.LatencyMs + best.LatencyMs*int64(similarPct)/100
	for _, p := range table[:most] {
		if p.PerSecond >= rate && p.LatencyMs <= limitMs {
			return p, true
		}
	}
	return *best, true
}

// Decide gives every model its count. The usable replicas include new ones and exclude
// leaving ones; the spares' room is left out when counts are raised above one.
func Decide(in Input) []Count {
	usable := len(in.Usable)
	spares := min(in.Doc.Scaler.Spares, max(0, usable-1))
	rooms := make([]int64, 0, usable)
	var wholeMb int64
	for _, r := range in.Usable {
		rooms = append(rooms, r.RoomMb)
		wholeMb += r.RoomMb
	}
	sort.Slice(rooms, func(i, j int) bool { return rooms[i] > rooms[j] })
	budgetMb := wholeMb
	for _, mb := range rooms[:spares] {
		budgetMb -= mb
	}
	counts := make([]Count, len(in.Doc.Models))
	order := make([]int, 0, len(counts))
	for i, m := range in.Doc.Models {
		rate := in.Rates[m.Name] + float64(in.Waiting[m.Name])/backlogSeconds
		counts[i] = Count{Model: m.Name, Rate: rate}
		if usable == 0 || (m.Weight == 0 && rate == 0) {
			continue
		}
		p, covers := Choose(m.Table, rate, max(1, usable-spares), in.Doc.Scaler.SimilarPct)
		counts[i].Wanted, counts[i].Covers = p.Replicas, covers
		order = append(order, i)
	}
	urgent := func(i int) float64 {
		return counts[i].Rate*float64(1+in.Doc.Models[i].Weight) + float64(in.Doc.Models[i].Weight)/1e6
	}
	sort.SliceStable(order, func(a, b int) bool { return urgent(order[a]) > urgent(order[b]) })
	var usedMb int64
	for _, i := range order {
		if sizeMb := in.Doc.Models[i].SizeMb; usedMb+sizeMb <= wholeMb {
			counts[i].Replicas = 1
			usedMb += sizeMb
		}
	}
	for raised := true; raised; {
		raised = false
		for _, i := range order {
			sizeMb := in.Doc.Models[i].SizeMb
			if counts[i].Replicas > 0 && counts[i].Replicas < counts[i].Wanted && usedMb+sizeMb <= budgetMb {
				counts[i].Replicas++
				usedMb += sizeMb
				raised = true
			}
		}
	}
	for i := range counts {
		if c := &counts[i]; c.Replicas > 0 {
			p := in.Doc.Models[i].Table[c.Replicas-1]
			c.PerSecond, c.LatencyMs = p.PerSecond, p.LatencyMs
			c.Covers = p.PerSecond >= c.Rate
		}
	}
	return counts
}
