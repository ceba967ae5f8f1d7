package failuredetector

import (
	"sort"

	"petreltide/internal/api/membership"
	"petreltide/internal/process/clock"
)

const (
	// HeartbeatIntervalUs is the time between two heartbeats.
	HeartbeatIntervalUs = 200 * clock.Ms
	// SuspectAfterUs is how long no heartbeat may come: four intervals and a half. A report of suspects counts as long.
	SuspectAfterUs = 900 * clock.Ms
	// ForgetAfterUs is when a node that sends nothing, or a watcher that reports nothing, is forgotten.
	ForgetAfterUs = 20 * clock.Sec
)

// Heartbeat is what a node sends to its watchers every HeartbeatIntervalUs. Gateways send it, so that it stands in the API.
type Heartbeat = membership.Heartbeat

// Monitor is one watcher: it records the heartbeats that come to this node.
type Monitor struct {
	// lastHeartbeatUs is when the last heartbeat of each node came.
	lastHeartbeatUs map[string]int64
	// lastCallUs is when the monitor was last used; 0 before the first time.
	lastCallUs int64
}

// NewMonitor returns a monitor that knows no node.
func NewMonitor() *Monitor { return &Monitor{lastHeartbeatUs: map[string]int64{}} }

// Receive takes a heartbeat. A final one ends the watch of its node.
func (m *Monitor) Receive(nowUs int64, heartbeat Heartbeat) {
	m.shiftAfterPause(nowUs)
	if heartbeat.Final {
		delete(m.lastHeartbeatUs, heartbeat.ID)
		return
	}
	m.lastHeartbeatUs[heartbeat.ID] = nowUs
}

// shiftAfterPause moves all heartbeats on by the time for which this watcher was itself paused: that none came then says
// nothing of the nodes.
func (m *Monitor) shiftAfterPause(nowUs int64) {
	if m.lastCallUs > 0 && nowUs-m.lastCallUs > HeartbeatIntervalUs*2 {
		for id, receivedUs := range m.lastHeartbeatUs {
			m.lastHeartbeatUs[id] = receivedUs + nowUs - m.lastCallUs
		}
	}
	m.lastCallUs = nowUs
}

// Suspects returns the nodes whose heartbeats are overdue, in order.
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
