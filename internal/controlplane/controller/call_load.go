package controller

import (
	"strings"

	"petreltide/internal/api/wire"
)

// callCounts are counts of calls at replicas, by replica and unit.
type callCounts map[string]map[string]int

// callLoad is what gateways report of calls now: those that wait and those that have no first piece yet by unit,
// and those that run and that have no first piece yet by replica and unit.
type callLoad struct {
	queued, unstarted      map[string]int
	runningAt, unstartedAt callCounts
}

// sumCallLoad sums the counts of calls in the reports of gateways.
func sumCallLoad(reports []*wire.Report) callLoad {
	load := callLoad{queued: map[string]int{}, unstarted: map[string]int{}, runningAt: callCounts{}, unstartedAt: callCounts{}}
	for _, report := range reports {
		addTo(load.queued, report.Queued)
		for key, n := range report.ModelInFlight {
			load.runningAt.add(parseReplicaUnit(key), n)
		}
		for key, n := range report.PendingPrefill {
			at := parseReplicaUnit(key)
			load.unstartedAt.add(at, n)
			load.unstarted[at.unit] += n
		}
	}
	return load
}

// parseReplicaUnit reads a key of a gateway's report.
func parseReplicaUnit(key string) replicaUnit {
	replica, unit, _ := strings.Cut(key, "|")
	return replicaUnit{replica, unit}
}

func (c callCounts) add(at replicaUnit, n int) {
	if c[at.replica] == nil {
		c[at.replica] = map[string]int{}
	}
	c[at.replica][at.unit] += n
}
