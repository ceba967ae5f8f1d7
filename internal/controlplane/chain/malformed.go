package chain

import "petreltide/internal/api/fault"

// numberMost bounds the numbers of views and the rounds of ballots in messages: whatever is taken up can be followed by
// a higher one. A chain that changes its view a thousand times a second takes longer than a hundred million years.
const numberMost = 1 << 62

// malformed says what is wrong with a message that no control node sends: what it would have its reader take up could not be
// followed by anything else, or could not be read again.
func (m Msg) malformed() *fault.Fault {
	bad := func(field string) *fault.Fault {
		return fault.New(fault.BadField, field, "a malformed message from %s at %s", m.From.ID, m.From.Addr)
	}
	for _, v := range m.views() {
		if !v.wellFormed() {
			return bad("view")
		}
	}
	for _, b := range m.ballots() {
		if b.Round >= numberMost {
			return bad("ballot")
		}
	}
	for _, c := range m.copies() {
		if c.State == nil || !c.State.WellFormed() {
			return bad("copy")
		}
	}
	if a := m.Accept; a != nil && (a.View.Number != a.Number || len(a.View.Voters) == 0 || len(a.View.Order) == 0) {
		return bad("view")
	}
	return nil
}

// wellFormed: every member has an identity and is named once. A view may be named by its number alone.
func (v View) wellFormed() bool {
	if v.Number >= numberMost || v.Extra < 0 {
		return false
	}
	votes, seats := map[string]bool{}, map[string]bool{}
	for _, m := range v.Voters {
		if m.ID == "" || votes[m.ID] {
			return false
		}
		votes[m.ID] = true
	}
	for _, s := range v.Order {
		if s.ID == "" || seats[s.ID] {
			return false
		}
		seats[s.ID] = true
	}
	return true
}

// ballots are all that a message would have its reader take up.
func (m Msg) ballots() (all []Ballot) {
	switch {
	case m.Hello != nil:
		all = append(all, m.Hello.Promised)
		if m.Hello.Accepted != nil {
			all = append(all, m.Hello.Accepted.Ballot)
		}
	case m.Prepare != nil:
		all = append(all, m.Prepare.Ballot)
	case m.Promise != nil:
		all = append(all, m.Promise.Promised)
		if m.Promise.Accepted != nil {
			all = append(all, m.Promise.Accepted.Ballot)
		}
	case m.Accept != nil:
		all = append(all, m.Accept.Ballot)
	}
	return all
}

func (m Msg) copies() (all []Copy) {
	if m.Joining != nil {
		all = append(all, m.Joining.Copy)
	}
	if m.Forward != nil && m.Forward.Copy != nil {
		all = append(all, *m.Forward.Copy)
	}
	return all
}
