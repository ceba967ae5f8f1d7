package controller

import (
	"strings"

	"petreltide/internal/api/wire"
)

// callCounts holds numbers of calls by replica and unit.
type callCounts map[string]map[string]int

// callLoad is the current load reported by the gateways: queued calls and calls without a first response chunk by unit, and
// running calls and calls without a first response chunk by replica and unit.
type callLoad struct {
	queued, unstarted      map[string]int
	runningAt, unstartedAt callCounts
}

// sumCallLoad sums the call counts over all gateway reports.
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

// parseReplicaUnit parses a "replica|unit" key of a gateway report.
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
