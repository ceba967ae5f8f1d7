// Package outlier ejects replicas that fail the attempts sent to them. It judges them by the outcomes of these attempts
// (passive health checking, as in Envoy's outlier detection), and has no clock and sends no traffic of its own.
//
// Each gateway has a LocalDetector, which ejects for that gateway alone, for seconds, and counts outcomes by Class. The
// controller has a Detector, which takes the counts of all gateways and publishes a Table of Verdicts. An ejected replica
// comes back in stages of probation, in which it gets a percentage of its calls.
//
// Evidence is a cumulative sum of log likelihood ratios (CUSUM): the hypothesis that a replica fails more often than its
// service, against the hypothesis that it fails as often. No more than a fraction of a service's replicas is ever ejected or on
// probation at once.
package outlier

import (
	"fmt"
	"math"
	"strings"
)

// Class is the outcome of one attempt, classified by what it says about the replica.
type Class int32

// The outcomes of an attempt.
const (
	// Unclassified means that the outcome was not classified; it is the zero value.
	Unclassified Class = iota
	// Success means that the response was complete.
	Success
	// ConnectRefused and ConnectTimeout mean that no connection was established.
	ConnectRefused
	ConnectTimeout
	// ResetFresh means that a new connection ended before the first byte of a response.
	ResetFresh
	// ResetReused means the same of a reused connection. That may have been dead before, so it is no evidence against the replica.
	ResetReused
	// ResponseTimeout means that the first byte of the response did not arrive in time.
	ResponseTimeout
	// ErrorResponse means that the replica answered with an error of its own.
	ErrorResponse
	// BrokenStream means that a response ended before it was complete.
	BrokenStream
	// Shed means that the replica rejected the attempt without running it.
	Shed
	// Slow means that the first byte arrived far later than expected.
	Slow
	// Inconclusive means that the attempt ended for a reason outside the replica.
	Inconclusive
	classCount
)

var classNames = [classCount]string{"", "good", "connect_refused", "connect_timeout", "reset_fresh", "reset_reused", "silence", "error_answer", "broken_stream", "shed", "slow", "inconclusive"}

// String returns the name of the class in reports, "" for Unclassified and for values out of range.
func (c Class) String() string {
	if c < 0 || c >= classCount {
		return ""
	}
	return classNames[c]
}

// IsFailure reports whether the class is evidence against a replica.
func (c Class) IsFailure() bool { return c > Success && c < Inconclusive && c != ResetReused }

// ParseClass returns the class of a name, Unclassified for an unknown name.
func ParseClass(name string) Class {
	for c, n := range classNames {
		if n == name {
			return Class(c)
		}
	}
	return Unclassified
}

// canResultFromLoad reports whether load can cause failures of the class. Such failures alone don't make a replica dead.
func (c Class) canResultFromLoad() bool { return c == ResponseTimeout || c == Slow || c == Shed }

const (
	// failureClasses is the number of classes that are failures.
	failureClasses = float64(classCount) - 4
	// outlierFailureRate is the failure rate that an outlier is assumed to have on top of its service's own. Replicas with twice
	// this rate or more are detected soon, those with about half of it never.
	outlierFailureRate = 0.2
	// minFailureRate is the lowest failure rate that a service is assumed to have, so that the weight of a first failure is
	// bounded; minLoadFailureRate is the same for classes that load can cause.
	minFailureRate     = 0.002
	minLoadFailureRate = 0.005
	// maxWeight is the upper bound of the weight of one outcome.
	maxWeight = 6.0
)

// weight returns the log likelihood ratio of one outcome: of a replica that fails outlierFailureRate of its attempts on top of
// its service's own failures, against a replica that fails as often as its service. serviceRate is the service's rate of the
// class. A class of failures that is frequent in the whole service has little weight.
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

// threshold returns the evidence at which a replica is an outlier. A cumulative sum of log likelihood ratios that never falls
// below 0 exceeds h by chance at most once in exp(h) outcomes. So h follows from outcomes, the number of outcomes that a
// replica has in the time in which it may be ejected once by chance.
func threshold(outcomes float64) float64 { return max(math.Log(max(outcomes, 1)), minThreshold) }

// minThreshold keeps a single outcome from ejecting a replica for the gateways of all zones.
const minThreshold = 4.0

// Counts has the outcomes at one replica since the last report. Failures is keyed by the names of classes.
type Counts struct {
	Replica   string         `json:"replica"`
	Successes int            `json:"good,omitempty"`
	Failures  map[string]int `json:"bad,omitempty"`
}

// Verdict restricts the calls to one replica. Zone is the zone of the gateways that it applies to, "" for all. AllowedPercent is
// the percentage of its calls that the replica may get. A call that no other replica takes may go to the replica all the same,
// unless it is Dead: nearly all attempts there failed.
type Verdict struct {
	Replica        string `json:"replica"`
	Zone           string `json:"zone,omitempty"`
	AllowedPercent int    `json:"share"`
	Dead           bool   `json:"dead,omitempty"`
}

// Table has all current verdicts; replicas without one get all their calls. A later table has a greater Epoch, or the same
// Epoch and a greater Number.
type Table struct {
	Epoch  uint64    `json:"epoch"`
	Number uint64    `json:"number"`
	Rows   []Verdict `json:"rows"`
}

// NewerThan reports whether t is later than other.
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

// ForZone returns the verdicts that apply to gateways of a zone, by replica; of two, the one that allows fewer calls.
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
