package rules

// Start is which configuration a gateway knew some time after it had started with seeds that were cut off from the rest
// of the core; 0 is none.
type Start struct {
	Machine string
	StartUs int64
	AtUs    int64
	Number  uint64
}

// starts: a gateway in touch knows what was acknowledged before it started, whichever seeds it was given.
func (j *judge) starts() {
	for _, s := range j.Starts {
		if !j.t.in(s.Machine, s.AtUs) {
			continue
		}
		j.stake(Seeds)
		for _, v := range j.Versions {
			if v.AckedUs > 0 && v.AckedUs < s.StartUs && s.Number < v.Number {
				j.breach(Seeds, "%s started at %.3f and knew version %d at %.3f; %d was acknowledged at %.3f", s.Machine, sec(s.StartUs), s.Number, sec(s.AtUs), v.Number, sec(v.AckedUs))
				break
			}
		}
	}
}
