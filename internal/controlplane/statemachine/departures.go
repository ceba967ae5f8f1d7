package statemachine

// MaxDepartures bounds the number of remembered departures; beyond it the oldest are forgotten.
const MaxDepartures = 20_000

// Departure is what an incarnation of a replica reported about its end. It is part of the state because the replica goes on serving
// for a while after the acknowledgement and may not report again: a control node that has lost its memory must not take it for a
// replica that stays.
type Departure struct {
	ID string `json:"id"`
	// Ended means that the replica has deregistered; otherwise it is draining.
	Ended bool `json:"gone,omitempty"`
	// The fields of the heartbeat with which the replica reported that it drains; zero if Ended. Seq is its sequence number, and
	// RemainingMs the time in ms until the replica ends, 0 where it named none.
	Service     string   `json:"service,omitempty"`
	Addr        string   `json:"addr,omitempty"`
	Zone        string   `json:"zone,omitempty"`
	Slots       int      `json:"slots,omitempty"`
	Units       []string `json:"holds,omitempty"`
	RemainingMs int64    `json:"leftMs,omitempty"`
	Seq         uint64   `json:"seq,omitempty"`
	// Index is the log index of the entry that recorded the departure; Apply sets it.
	Index uint64 `json:"index,omitempty"`
}

// Covers reports whether this departure says as much as one that is Ended or not.
func (d Departure) Covers(ended bool) bool { return d.Ended || !ended }

// applyDeparture remembers a departure, unless a remembered one of the same incarnation covers it.
func (s *State) applyDeparture(d Departure) {
	known, remembered := s.Departures[d.ID]
	if remembered && known.Covers(d.Ended) {
		return
	}
	if s.Departures == nil {
		s.Departures = map[string]Departure{}
	}
	if !remembered {
		s.DepartureIDs = append(s.DepartureIDs, d.ID)
	}
	d.Index = s.Index
	s.Departures[d.ID], s.DeparturesIndex = d, s.Index
	if len(s.DepartureIDs) > MaxDepartures {
		delete(s.Departures, s.DepartureIDs[0])
		s.DepartureIDs = s.DepartureIDs[1:]
	}
}

// HasDeparturesBefore reports whether the oldest remembered departure was recorded before a log index.
func (s *State) HasDeparturesBefore(index uint64) bool {
	return len(s.DepartureIDs) > 0 && s.Departures[s.DepartureIDs[0]].Index < index
}

// forgetDepartures drops the oldest departures up to the first one that was recorded at or after a log index.
func (s *State) forgetDepartures(before uint64) {
	for s.HasDeparturesBefore(before) {
		delete(s.Departures, s.DepartureIDs[0])
		s.DepartureIDs = s.DepartureIDs[1:]
	}
}
