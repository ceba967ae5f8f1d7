// Package outlier judges replicas by what became of the attempts sent to them. It is a reducer without clocks
// or traffic of its own: gateways count outcomes by class, the controller folds the counts of all gateways.
package outlier

import (
	"fmt"
	"math"
	"strings"
)

// Class is what became of one attempt, as far as it tells of the replica.
type Class int32

// What became of an attempt.
const (
	// None means that nobody has told.
	None Class = iota
	// Good is a whole answer.
	Good
	// ConnectRefused and ConnectTimeout mean that no connection came about.
	ConnectRefused
	ConnectTimeout
	// ResetFresh means that a new connection ended before the first byte of an answer.
	ResetFresh
	// ResetReused means that a kept connection did; it may have been dead before, so that it says nothing of the replica.
	ResetReused
	Silence
	ErrorAnswer
	BrokenStream
	// Shed means that the replica turned the attempt away unrun.
	Shed
	Slow
	// Inconclusive means that it ended for a reason that is not the replica's.
	Inconclusive
	classes
)

var names = [classes]string{"", "good", "connect_refused", "connect_timeout", "reset_fresh", "reset_reused", "silence", "error_answer", "broken_stream", "shed", "slow", "inconclusive"}

func (c Class) String() string {
	if c < 0 || c >= classes {
		return ""
	}
	return names[c]
}

// Bad classes are evidence against a replica.
func (c Class) Bad() bool { return c > Good && c < Inconclusive && c != ResetReused }

// ClassOf is None for a name that is no class.
func ClassOf(name string) Class {
	for c, n := range names {
		if n == name {
			return Class(c)
		}
	}
	return None
}

// soft classes may come of load as well: none of them alone makes a replica dead.
func (c Class) soft() bool { return c == Silence || c == Slow || c == Shed }

const (
	badClasses = float64(classes) - 4
	// sickShare is the share of failing attempts that an ill replica is taken to have beyond its service's own.
	// It is found soon from twice that on, and at about half of it never.
	sickShare  = 0.2
	shareLeast = 0.002
	softLeast  = 0.005
	// weightMost bounds what one outcome weighs.
	weightMost = 6.0
)

// weight is the logarithm of the likelihood ratio of one outcome: of a replica that fails sickShare of its
// attempts in some way on top of its service's own failures, against one that fails as its service does. A way
// to fail that the whole service shows weighs little.
func weight(c Class, share float64) float64 {
	if c == Good {
		return math.Log(1 - sickShare)
	}
	if !c.Bad() {
		return 0
	}
	least := shareLeast
	if c.soft() {
		least = softLeast
	}
	return min(math.Log(1-sickShare+sickShare/badClasses/max(share, least)), weightMost)
}

// threshold is the evidence at which a replica is ill. A cumulative sum of log likelihood ratios that never
// falls below 0 passes h by chance once in exp(h) outcomes at most, so that h follows from how many outcomes
// a replica has in the time in which it may be suspected once for nothing.
func threshold(outcomes float64) float64 { return max(math.Log(max(outcomes, 1)), thresholdLeast) }

// thresholdLeast lets no single outcome condemn for all.
const thresholdLeast = 4.0

// Counts are outcomes at one replica since they were last told.
type Counts struct {
	Replica string         `json:"replica"`
	Good    int            `json:"good,omitempty"`
	Bad     map[string]int `json:"bad,omitempty"`
}

// Row is one verdict: Zone is that of the gateways it holds for, "" for all. Share is the part of calls, in
// 100, that may go to the replica; where no other replica takes a call, it may go there all the same, but to a
// Dead one: nearly all that went there failed.
type Row struct {
	Replica string `json:"replica"`
	Zone    string `json:"zone,omitempty"`
	Share   int    `json:"share"`
	Dead    bool   `json:"dead,omitempty"`
}

// Table is every verdict that stands; who is not in it is well. Later ones have a greater Epoch, or the
// same and a greater Number.
type Table struct {
	Epoch  uint64 `json:"epoch"`
	Number uint64 `json:"number"`
	Rows   []Row  `json:"rows"`
}

// After says whether this table is newer than another.
func (t Table) After(o Table) bool {
	return t.Epoch > o.Epoch || (t.Epoch == o.Epoch && t.Number > o.Number)
}

func (r Row) String() string {
	text := fmt.Sprintf("%s gets %d in 100 of its calls", r.Replica, r.Share)
	if r.Zone != "" {
		text += " from zone " + r.Zone
	}
	if r.Dead {
		text += ", dead"
	}
	return text
}

func (t Table) String() string {
	rows := []string{}
	for _, r := range t.Rows {
		rows = append(rows, r.String())
	}
	return strings.Join(rows, "; ")
}

// In are the verdicts that hold for gateways of a zone, by replica.
func (t Table) In(zone string) map[string]Row {
	if len(t.Rows) == 0 {
		return nil
	}
	rows := map[string]Row{}
	for _, r := range t.Rows {
		if r.Zone != "" && r.Zone != zone {
			continue
		}
		if had, ok := rows[r.Replica]; !ok || r.Share < had.Share {
			rows[r.Replica] = r
		}
	}
	return rows
}
