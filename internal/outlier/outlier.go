// Package outlier ejects replicas that fail what is sent to them, by what became of attempts (passive health checking, as
// Envoy's outlier detection does it). It is a reducer without clocks or traffic of its own.
//
// Each gateway has a LocalDetector, which ejects for that gateway alone, for seconds, and counts outcomes by Class. The
// controller has a Detector, which takes the counts of all gateways and publishes a Table of Verdicts. An ejected replica
// comes back in stages of probation, in which it gets a few in 100 of its calls.
//
// Evidence is a cumulative sum of log likelihood ratios (CUSUM): of a replica that fails more than its service does,
// against one that fails as its service does. No more than a fraction of a service's replicas is ever ejected or on
// probation at once.
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
	// Unclassified means that nobody has told.
	Unclassified Class = iota
	// Success is a whole answer.
	Success
	// ConnectRefused and ConnectTimeout mean that no connection came about.
	ConnectRefused
	ConnectTimeout
	// ResetFresh means that a new connection ended before the first byte of an answer.
	ResetFresh
	// ResetReused means that a kept connection did; it may have been dead before, so that it says nothing of the replica.
	ResetReused
	// ResponseTimeout means that no first byte came in time.
	ResponseTimeout
	// ErrorResponse means that the replica answered with an error of its own.
	ErrorResponse
	// BrokenStream means that a response ended before its end.
	BrokenStream
	// Shed means that the replica turned the attempt away unrun.
	Shed
	// Slow means that the first byte came far later than was expected.
	Slow
	// Inconclusive means that it ended for a reason that is not the replica's.
	Inconclusive
	classCount
)

var classNames = [classCount]string{"", "good", "connect_refused", "connect_timeout", "reset_fresh", "reset_reused", "silence", "error_answer", "broken_stream", "shed", "slow", "inconclusive"}

func (c Class) String() string {
	if c < 0 || c >= classCount {
		return ""
	}
	return classNames[c]
}

// IsFailure classes are evidence against a replica.
func (c Class) IsFailure() bool { return c > Success && c < Inconclusive && c != ResetReused }

// ParseClass is None for a name that is no class.
func ParseClass(name string) Class {
	for c, n := range classNames {
		if n == name {
			return Class(c)
		}
	}
	return Unclassified
}

// canResultFromLoad classes may come of load as well: none of them alone makes a replica dead.
func (c Class) canResultFromLoad() bool { return c == ResponseTimeout || c == Slow || c == Shed }

const (
	// failureClasses is the number of classes that are failures.
	failureClasses = float64(classCount) - 4
	// outlierFailureRate is the share of failing attempts that an ill replica is taken to have beyond its service's own.
	// It is found soon from twice that on, and at about half of it never.
	outlierFailureRate = 0.2
	// minFailureRate is the least failure rate a service is taken to have, so that a first failure doesn't weigh without bound;
	// minLoadFailureRate is the same for classes that load may explain.
	minFailureRate     = 0.002
	minLoadFailureRate = 0.005
	// maxWeight bounds what one outcome weighs.
	maxWeight = 6.0
)

// weight is the logarithm of the likelihood ratio of one outcome: of a replica that fails outlierFailureRate of its
// attempts in some way on top of its service's own failures, against one that fails as its service does. A way
// to fail that the whole service shows weighs little.
func weight(c Class, serviceRate float64) float64 {
	if c == Success {
		return math.Log(1 - outlierFailureRate)
	}
	if !c.IsFailure() {
		return 0
	}
	minRate := minFailureRate
	if c.canResultFromLoad() {
		minRate = minLoadFailureRate
	}
	return min(math.Log(1-outlierFailureRate+outlierFailureRate/failureClasses/max(serviceRate, minRate)), maxWeight)
}

// threshold is the evidence at which a replica is ill. A cumulative sum of log likelihood ratios that never
// falls below 0 passes h by chance once in exp(h) outcomes at most, so that h follows from how many outcomes
// a replica has in the time in which it may be suspected once for nothing.
func threshold(outcomes float64) float64 { return max(math.Log(max(outcomes, 1)), minThreshold) }

// minThreshold lets no single outcome condemn for all.
const minThreshold = 4.0

// Counts are outcomes at one replica since they were last told.
type Counts struct {
	Replica   string         `json:"replica"`
	Successes int            `json:"good,omitempty"`
	Failures  map[string]int `json:"bad,omitempty"`
}

// Verdict is one verdict: Zone is that of the gateways it holds for, "" for all. Share is the part of calls, in
// 100, that may go to the replica; where no other replica takes a call, it may go there all the same, but to a
// Dead one: nearly all that went there failed.
type Verdict struct {
	Replica        string `json:"replica"`
	Zone           string `json:"zone,omitempty"`
	AllowedPercent int    `json:"share"`
	Dead           bool   `json:"dead,omitempty"`
}

// Table is every verdict that stands; who is not in it is well. Later ones have a greater Epoch, or the
// same and a greater Number.
type Table struct {
	Epoch  uint64    `json:"epoch"`
	Number uint64    `json:"number"`
	Rows   []Verdict `json:"rows"`
}

// NewerThan says whether this table is newer than another.
func (t Table) NewerThan(other Table) bool {
	return t.Epoch > other.Epoch || (t.Epoch == other.Epoch && t.Number > other.Number)
}

func (r Verdict) String() string {
	text := fmt.Sprintf("%s gets %d in 100 of its calls", r.Replica, r.AllowedPercent)
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

// ForZone are the verdicts that hold for gateways of a zone, by replica.
func (t Table) ForZone(zone string) map[string]Verdict {
	if len(t.Rows) == 0 {
		return nil
	}
	rows := map[string]Verdict{}
	for _, r := range t.Rows {
		if r.Zone != "" && r.Zone != zone {
			continue
		}
		if existing, ok := rows[r.Replica]; !ok || r.AllowedPercent < existing.AllowedPercent {
			rows[r.Replica] = r
		}
	}
	return rows
}
