package statemachine

import (
	"fmt"
	"testing"
)

// The end of a replica replaces the record that it drains, and nothing replaces the end.
func TestDepartureIsReplacedOnlyByTheEnd(t *testing.T) {
	s := NewState()
	for i, c := range []struct {
		report Departure
		ended  bool
		index  uint64
	}{{Departure{ID: "r", Seq: 4}, false, 1}, {Departure{ID: "r", Seq: 5}, false, 1}, {Departure{ID: "r", Ended: true}, true, 3}, {Departure{ID: "r", Seq: 6}, true, 3}} {
		report := c.report
		if out := s.Apply(uint64(i+1), Change{ID: "d", Departure: &report}); out.Fault != nil {
			t.Fatal(out.Fault)
		}
		if got := s.Departures["r"]; got.Ended != c.ended || got.Index != c.index || s.DeparturesIndex != c.index {
			t.Errorf("after report %d: got %+v and index %d, want ended %t recorded at %d", i+1, got, s.DeparturesIndex, c.ended, c.index)
		}
	}
	if len(s.DepartureIDs) != 1 {
		t.Errorf("IDs of one replica: got %v, want one", s.DepartureIDs)
	}
}

// Departures are forgotten from the oldest on, by the leader's word or where there are too many, and a copy of the state keeps its own.
func TestDeparturesAreForgottenFromTheOldestOn(t *testing.T) {
	s := NewState()
	for i := range uint64(MaxDepartures + 2) {
		s.Apply(i+1, Change{Departure: &Departure{ID: fmt.Sprint(i), Ended: true}})
	}
	if len(s.Departures) != MaxDepartures || len(s.DepartureIDs) != MaxDepartures || s.DepartureIDs[0] != "2" {
		t.Fatalf("got %d departures from %s on, want %d from 2 on", len(s.Departures), s.DepartureIDs[0], MaxDepartures)
	}
	held := s.Snapshot()
	s.Apply(s.Index+1, Change{Epoch: s.Epoch, LeaderUpdate: &LeaderUpdate{ForgetDeparturesBefore: 13}})
	if len(s.Departures) != MaxDepartures-10 || s.DepartureIDs[0] != "12" || s.HasDeparturesBefore(13) || !s.HasDeparturesBefore(14) {
		t.Errorf("after forgetting those before index 13: got %d from %s on, want %d from 12 on", len(s.Departures), s.DepartureIDs[0], MaxDepartures-10)
	}
	if len(held.Departures) != MaxDepartures || held.DepartureIDs[0] != "2" {
		t.Error("a copy taken before has changed")
	}
}
