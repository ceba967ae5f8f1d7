package statemachine

import "petreltide/internal/api/fault"

// Claim takes the leadership of the controller under the next epoch.
type Claim struct {
	Holder string `json:"holder"`
}

// LeaderUpdate is one write of the controller that leads: what it knows of replicas, and the orders it issues and settles.
type LeaderUpdate struct {
	Fleet    []ReplicaNote             `json:"fleet,omitempty"`
	Gone     []string                  `json:"gone,omitempty"`
	Tickets  []Ticket                  `json:"tickets,omitempty"`
	Settled  []Settled                 `json:"settled,omitempty"`
	Grants   []GrantAsk                `json:"grants,omitempty"`
	Shares   map[string]map[string]int `json:"shares,omitempty"`
	Gateways []string                  `json:"goneDesks,omitempty"`
	Forget   uint64                    `json:"forgetKeysBefore,omitempty"`
	Checked  uint64                    `json:"checkedInView,omitempty"`
}

// Blank says whether an update would change nothing.
func (d *LeaderUpdate) Blank() bool {
	return len(d.Fleet)+len(d.Gone)+len(d.Tickets)+len(d.Settled)+len(d.Grants)+len(d.Shares)+len(d.Gateways) == 0 && d.Forget+d.Checked == 0
}

func (s *State) applyClaim(out *Outcome, c Change) {
	if c.Epoch != s.Epoch+1 {
		out.Fault = fault.New(fault.StaleEpoch, "epoch", "claims %d, current is %d", c.Epoch, s.Epoch)
		return
	}
	s.Epoch = c.Epoch
	s.Holder = c.Claim.Holder
}

func (s *State) applyLeaderUpdate(out *Outcome, c Change) {
	if c.Epoch != s.Epoch {
		out.Fault = fault.New(fault.StaleEpoch, "epoch", "written under %d, current is %d", c.Epoch, s.Epoch)
		return
	}
	sheet := &fault.Sheet{}
	news := false
	for _, n := range c.LeaderUpdate.Fleet {
		s.noteReplica(n)
		news = true
	}
	for _, id := range c.LeaderUpdate.Gone {
		s.dropReplica(id)
		news = true
	}
	for _, d := range c.LeaderUpdate.Settled {
		news = s.settle(d) || news
	}
	for _, t := range c.LeaderUpdate.Tickets {
		if f := s.issue(c.Epoch, t); f != nil {
			sheet.Add(f)
		}
	}
	s.forgetKeys(c.LeaderUpdate.Forget)
	for _, gateway := range c.LeaderUpdate.Gateways {
		s.dropGateway(gateway)
	}
	for _, g := range c.LeaderUpdate.Grants {
		if f := s.grant(c.Epoch, g); f != nil {
			sheet.Add(f)
			continue
		}
		news = true
	}
	for id, shares := range c.LeaderUpdate.Shares {
		if r := s.Replicas[id]; r != nil && sumOf(shares) <= r.Slots {
			r.Shares = shares
			news = true
		}
	}
	if news {
		s.NewsIndex = s.Index
	}
	out.Faults = sheet.Faults
}

func sumOf(shares map[string]int) int {
	sum := 0
	for _, n := range shares {
		sum += n
	}
	return sum
}
