package rules

// The rules of what any control machine may answer at any moment, cut off or not. The users' pages bound
// most answers of machines in touch only; these hold for all.
const (
	ReadOld   = "ANSWER old read"
	RefusedAs = "ANSWER wrong refusal"
	LeaveLost = "ANSWER leave unheard"
)

// ControlRead is one answer to an operator who asked for the newest configuration.
type ControlRead struct {
	Machine string
	AskedUs int64
	AtUs    int64
	Number  uint64
}

// ControlRefusal is one 4xx that an operator got for a change: 412 where another version is said to be current.
type ControlRefusal struct {
	Machine string
	AtUs    int64
	Version *Version
	Status  int
}

const preconditionFailed = 412

// answers judges what control machines said, also those that were cut off.
func (j *judge) answers() {
	for _, r := range j.Reads {
		j.read(r)
	}
	for _, r := range j.Refusals {
		j.refusal(r)
	}
	j.leaves()
}

// read: nothing older than what was acknowledged before the question may be given as the newest.
func (j *judge) read(r ControlRead) {
	j.stake(ReadOld)
	for _, v := range j.Versions {
		if v.AckedUs > 0 && v.AckedUs < r.AskedUs && r.Number < v.Number {
			j.breach(ReadOld, "%s gave version %d at %.3f, asked at %.3f; %d was acknowledged at %.3f", r.Machine, r.Number, sec(r.AtUs), sec(r.AskedUs), v.Number, sec(v.AckedUs))
			return
		}
	}
}

// refusal: a valid change is refused only where another version than its base may have been current.
func (j *judge) refusal(r ControlRefusal) {
	j.stake(RefusedAs)
	if !r.Version.Valid {
		return
	}
	if r.Status == preconditionFailed {
		for _, o := range j.Versions {
			if o != r.Version && o.Valid && o.Number > r.Version.Base && o.SentUs < r.AtUs {
				return
			}
		}
	}
	j.breach(RefusedAs, "%s refused version %d on top of %d with %d at %.3f, and no other could be current", r.Machine, r.Version.Number, r.Version.Base, r.Status, sec(r.AtUs))
}

// leaves: a leaving that any machine acknowledged reaches the gateways in touch as one that a machine in touch did.
func (j *judge) leaves() {
	j.drained(LeaveLost, func(l *Deregistration) bool { return l.AckedUs > 0 })
}
