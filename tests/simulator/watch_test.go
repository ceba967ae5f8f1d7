package simulator

import "testing"

// Detection and false suspicion of gateways by their ring-named watchers, under loss and freezes.
func TestWatchersFindADeadGatewayAndSpareLiveOnes(t *testing.T) {
	for _, c := range []struct {
		name     string
		loss     float64
		freezeUs int64
	}{{"quiet", 0, 0}, {"loss 5%", 0.05, 0}, {"loss 15%", 0.15, 0}, {"freezes of 400 ms", 0, 400 * millisecond}} {
		var maxUs, sumUs int64
		found, wrong, looks := 0, 0, 0
		for seed := int64(1); seed <= 3; seed++ {
			s := New(DeclaredPlan{Seed: seed, ControlNodes: 3, Gateways: 5, Replicas: 3, CallsPerSecond: 5})
			s.operators.begin()
			s.runUntil(12 * second)
			s.loss = c.loss
			silent := func(name string) bool {
				for _, o := range s.controlNodes {
					if !o.core.Node.IsHead() {
						continue
					}
					for _, d := range o.core.Controller.Gateways(o.clock()) {
						if d.Gateway == name {
							return d.Silent
						}
					}
				}
				return false
			}
			for s.nowUs < 22*second {
				s.runUntil(s.nowUs + 50*millisecond)
				if c.freezeUs > 0 && s.nowUs%(2*second) == 0 {
					s.gateways[s.random.Intn(5)].thawUs = s.nowUs + c.freezeUs
				}
				for _, d := range s.gateways {
					looks++
					if silent(d.name) {
						wrong++
					}
				}
			}
			deadUs := s.nowUs
			s.gateways[2].crash()
			for s.nowUs < deadUs+5*second && !silent(s.gateways[2].name) {
				s.runUntil(s.nowUs + 10*millisecond)
			}
			if silent(s.gateways[2].name) {
				found++
			}
			maxUs = max(maxUs, s.nowUs-deadUs)
			sumUs += s.nowUs - deadUs
		}
		t.Logf("%s: found %d of 3, mean %d ms, most %d ms; %d of %d looks wrong", c.name, found, sumUs/3/1000, maxUs/1000, wrong, looks)
		if found != 3 || wrong*1000 > looks {
			t.Errorf("%s: found %d of 3, %d of %d looks suspected a live gateway", c.name, found, wrong, looks)
		}
	}
}
