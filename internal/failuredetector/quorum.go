package failuredetector

// SuspicionReport is all that one watcher suspects at a time.
type SuspicionReport struct {
	Reporter string `json:"by"`
	// Suspects are the IDs of nodes; an empty report takes earlier suspicions back.
	Suspects []string `json:"silent"`
}

// SuspicionQuorum counts the watchers that suspect a node: one alone may itself be partitioned.
type SuspicionQuorum struct {
	// reports are the newest by reporter.
	reports map[string]timedReport
}

// timedReport is a report with the time it came.
type timedReport struct {
	suspects   []string
	receivedUs int64
}

// NewSuspicionQuorum returns a quorum without reports.
func NewSuspicionQuorum() *SuspicionQuorum {
	return &SuspicionQuorum{reports: map[string]timedReport{}}
}

// Report takes a watcher's report in place of its last.
func (q *SuspicionQuorum) Report(nowUs int64, report SuspicionReport) {
	q.reports[report.Reporter] = timedReport{report.Suspects, nowUs}
}

// Suspected reports whether WatchersPerNode watchers suspect a node, by reports of the last SuspectAfterUs.
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
