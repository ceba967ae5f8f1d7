package failuredetector

import (
	"hash/fnv"
	"sort"

	"petreltide/internal/process/clock"
)

// How nodes watch each other.
const (
	// WatchersPerNode is how many nodes watch each one; all of them must report silence before it counts as failed.
	WatchersPerNode = 2
	// HeartbeatIntervalUs is the time between two heartbeats, SuspectAfterUs how long none may come, and ForgetAfterUs when a silent node is let go.
	HeartbeatIntervalUs = 200 * clock.Ms
	SuspectAfterUs      = 900 * clock.Ms
	ForgetAfterUs       = 20 * clock.Sec
)

// Node is one place on the ring. ID tells processes apart that followed each other at one address.
type Node struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
}

// Heartbeat is a heartbeat; Last says that no more will come, since the node ends in order.
type Heartbeat struct {
	ID    string `json:"id"`
	Final bool   `json:"last,omitempty"`
}

// SuspicionReport is what one watcher reports: who has fallen silent, as it sees it.
type SuspicionReport struct {
	Reporter string   `json:"by"`
	Suspects []string `json:"silent"`
}

func ringPosition(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// WatchersOf are the watchers of id: those that follow its place on the ring.
func WatchersOf(ring []Node, id string) []Node {
	others := []Node{}
	for _, n := range ring {
		if n.ID != id {
			others = append(others, n)
		}
	}
	own := ringPosition(id)
	sort.Slice(others, func(i, j int) bool {
		a, b := ringPosition(others[i].ID)-own, ringPosition(others[j].ID)-own
		if a != b {
			return a < b
		}
		return others[i].ID < others[j].ID
	})
	return others[:min(WatchersPerNode, len(others))]
}

// Departed are those of before that are not among now.
func Departed(before, now []Node) []Node {
	departed := []Node{}
	for _, b := range before {
		stays := false
		for _, n := range now {
			stays = stays || n == b
		}
		if !stays {
			departed = append(departed, b)
		}
	}
	return departed
}

// Monitor remembers who beats at this node. It is asked who has fallen silent.
type Monitor struct {
	lastHeartbeatUs map[string]int64
	lastCallUs      int64
}

// NewMonitor is a watch that has heard nobody.
func NewMonitor() *Monitor { return &Monitor{lastHeartbeatUs: map[string]int64{}} }

// Receive takes a heartbeat.
func (m *Monitor) Receive(nowUs int64, heartbeat Heartbeat) {
	m.shiftAfterPause(nowUs)
	if heartbeat.Final {
		delete(m.lastHeartbeatUs, heartbeat.ID)
		return
	}
	m.lastHeartbeatUs[heartbeat.ID] = nowUs
}

// shiftAfterPause: a watcher that was itself frozen has heard nobody, which says nothing of them.
func (m *Monitor) shiftAfterPause(nowUs int64) {
	if m.lastCallUs > 0 && nowUs-m.lastCallUs > HeartbeatIntervalUs*2 {
		for id, receivedUs := range m.lastHeartbeatUs {
			m.lastHeartbeatUs[id] = receivedUs + nowUs - m.lastCallUs
		}
	}
	m.lastCallUs = nowUs
}

// Suspects are the nodes that were heard once and not for SuspectAfterUs, in order.
func (m *Monitor) Suspects(nowUs int64) []string {
	m.shiftAfterPause(nowUs)
	suspects := []string{}
	for id, receivedUs := range m.lastHeartbeatUs {
		switch {
		case nowUs-receivedUs > ForgetAfterUs:
			delete(m.lastHeartbeatUs, id)
		case nowUs-receivedUs > SuspectAfterUs:
			suspects = append(suspects, id)
		}
	}
	sort.Strings(suspects)
	return suspects
}

// SuspicionQuorum counts who says that a node is silent; one watcher alone may itself be cut off.
type SuspicionQuorum struct {
	reports map[string]timedReport
}

type timedReport struct {
	suspects   []string
	receivedUs int64
}

// NewSuspicionQuorum is a jury to which nobody has spoken.
func NewSuspicionQuorum() *SuspicionQuorum {
	return &SuspicionQuorum{reports: map[string]timedReport{}}
}

// Report takes a watcher's newest report in the place of its last.
func (q *SuspicionQuorum) Report(nowUs int64, report SuspicionReport) {
	q.reports[report.Reporter] = timedReport{report.Suspects, nowUs}
}

// Suspected says whether enough watchers have lately reported a node as silent.
func (q *SuspicionQuorum) Suspected(nowUs int64, id string) bool {
	votes := 0
	for reporter, report := range q.reports {
		if nowUs-report.receivedUs > ForgetAfterUs {
			delete(q.reports, reporter)
			continue
		}
		if nowUs-report.receivedUs > SuspectAfterUs {
			continue
		}
		for _, suspect := range report.suspects {
			if suspect == id {
				votes++
			}
		}
	}
	return votes >= WatchersPerNode
}
