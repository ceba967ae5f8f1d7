package rules

import "petreltide/tests/history"

// ConfigHistory says that all that operators were answered and read back fits one register that orders change by
// compare-and-set on its version.
const ConfigHistory = "CONFIG history"

// answersFitOneRegister judges the day's calls of operators as one history.
func (j *judge) answersFitOneRegister() {
	for range j.Calls {
		j.stake(ConfigHistory)
	}
	for _, b := range history.Judge(j.Calls) {
		j.breach(ConfigHistory, "%v", b)
	}
}
