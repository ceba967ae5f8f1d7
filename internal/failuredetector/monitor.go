package failuredetector

import (
	"sort"

	"petreltide/internal/api/membership"
	"petreltide/internal/process/clock"
)

const (
	// HeartbeatIntervalUs is the time between two heartbeats.
	HeartbeatIntervalUs = 200 * clock.Ms
	// SuspectAfterUs is the time without a heartbeat, four and a half intervals, after which a node is suspected. A report of
	// suspects is valid for the same time.
	SuspectAfterUs = 900 * clock.Ms
	// ForgetAfterUs is the time after which a node without heartbeats, or the last report of a watcher, is removed.
	ForgetAfterUs = 20 * clock.Sec
)

// Heartbeat is the message that a node sends to its watchers every HeartbeatIntervalUs. Gateways send it as well, so its type
// is part of the API.
type Heartbeat = membership.Heartbeat

// Monitor is one watcher: it records the heartbeats that this node receives.
type Monitor struct {
	// lastHeartbeatUs has the time at which each node's last heartbeat arrived, by node ID.
	lastHeartbeatUs map[string]int64
	// lastCallUs is the time of the last call of Receive or Suspects, 0 before the first.
	lastCallUs int64
}

// NewMonitor returns a monitor that has received no heartbeats.
func NewMonitor() *Monitor { return &Monitor{lastHeartbeatUs: map[string]int64{}} }

// Receive records a heartbeat. After a final one, which a node sends when it leaves, the node is no longer monitored.
func (m *Monitor) Receive(nowUs int64, heartbeat Heartbeat) {
	m.shiftAfterPause(nowUs)
	if heartbeat.Final {
		delete(m.lastHeartbeatUs, heartbeat.ID)
		return
	}
	m.lastHeartbeatUs[heartbeat.ID] = nowUs
}

// shiftAfterPause adds the time for which this watcher was itself paused, if it was, to the times of all heartbeats: their
// absence during the pause is no evidence against the nodes. A gap of more than two heartbeat intervals between two calls
// counts as a pause.
func (m *Monitor) shiftAfterPause(nowUs int64) {
	if m.lastCallUs > 0 && nowUs-m.lastCallUs > HeartbeatIntervalUs*2 {
		for id, receivedUs := range m.lastHeartbeatUs {
			m.lastHeartbeatUs[id] = receivedUs + nowUs - m.lastCallUs
		}
	}
	m.lastCallUs = nowUs
}

// Suspects returns the IDs of the nodes whose heartbeats are overdue, sorted. It removes nodes after ForgetAfterUs.
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
