package failuredetector

// SuspicionReport has all nodes that one watcher suspects at one time.
type SuspicionReport struct {
	Reporter string `json:"by"`
	// Suspects has the IDs of the suspected nodes. An empty report withdraws earlier suspicions.
	Suspects []string `json:"silent"`
}

// SuspicionQuorum decides by the reports of watchers which nodes are suspected. The report of one watcher alone is not enough,
// because the watcher itself may be partitioned.
type SuspicionQuorum struct {
	// reports has the latest report of each reporter.
	reports map[string]timedReport
}

// timedReport is a report with the time at which it arrived.
type timedReport struct {
	suspects   []string
	receivedUs int64
}

// NewSuspicionQuorum returns a quorum without reports.
func NewSuspicionQuorum() *SuspicionQuorum {
	return &SuspicionQuorum{reports: map[string]timedReport{}}
}

// Report records a watcher's report, which replaces the watcher's previous one.
func (q *SuspicionQuorum) Report(nowUs int64, report SuspicionReport) {
	q.reports[report.Reporter] = timedReport{report.Suspects, nowUs}
}

// Suspected reports whether at least WatchersPerNode watchers suspect a node, by their reports of the last SuspectAfterUs.
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
