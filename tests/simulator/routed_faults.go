package simulator

import (
	"math/rand"
	"slices"
	"strings"

	"petreltide/tests/platform/replica"
)

var routedFaultKinds = []string{
	"kill-office", "kill-holder", "power-office", "freeze-office", "freeze-holder", "stall-disk", "slow-disk", "full-disk", "replace-office", "wipe-after-ack", "power-after-ack",
	"cut-office", "one-way", "split-core", "cut-desk", "kill-desk", "herd-kill", "kill-offices", "roll-desks", "freeze-desk", "clock-step", "swap-seeds", "loss",
	"crash-replica", "lose-replica", "dark-replica", "reuse-address", "notice", "notice-race", "release", "scale-in", "failing-replica", "turning-replica", "breaking-replica",
	"config-change", "config-storm", "config-race", "config-rivals", "config-again", "bad-config", "big-config", "burst", "burst-rare", "model-shift",
	"grey-errors", "grey-shed", "grey-busy", "grey-hang", "grey-reset", "grey-mute", "grey-slow", "grey-one-zone", "lying-errors", "lying-hang", "lying-reset",
	"answer-lost", "flap", "drop-idle", "unheard-leave", "kill-zone", "roll-offices", "replace-planned", "power-after-taking",
	"leave-first", "late-beat", "late-beat-of-former-life", "reuse-after-drain", "reuse-after-dark", "cut-replica", "give-up", "retry-abuse", "ack-lost", "power-after-send",
	"withdraw", "cut-lured",
	"cut-behind", "cut-split", "cut-both", "cut-relieve", "cut-turn", "cut-seeds", "power-keeping", "herd-power-order", "herd-power-work", "ack-lost-race",
	"cut-replica-reset", "cut-replica-fronts", "cut-replica-some", "config-flood",
}

// pairFaultKinds strike two control nodes at once, where the fleet is made to bear that.
var pairFaultKinds = []string{"kill-pair", "power-pair", "freeze-pair", "cut-pair", "replace-pair", "wipe-pair-after-ack"}

// selfCounted faults are counted where they first have an effect, beside those that wait for an acknowledgement.
var selfCounted = []string{
	"drop-idle", "unheard-leave", "power-after-taking", "replace-planned", "late-beat", "late-beat-of-former-life", "reuse-after-drain", "reuse-after-dark",
	"give-up", "retry-abuse", "ack-lost", "power-after-send",
	"cut-behind", "cut-split", "cut-both", "cut-relieve", "cut-turn", "cut-seeds", "power-keeping", "herd-power-order", "herd-power-work", "ack-lost-race", "config-flood",
}

// countsItself: such a fault is counted where it first had an effect.
func countsItself(kind string) bool {
	return strings.HasSuffix(kind, "-after-ack") || strings.Contains(kind, "-core-after-") || ailments[kind] != replica.Sound || slices.Contains(selfCounted, kind)
}

// RoutedFaultNames lists every fault that routed days are dealt.
func RoutedFaultNames() []string {
	names := append(slices.Clone(routedFaultKinds), pairFaultKinds...)
	slices.Sort(names)
	return names
}

// pairsEvery: every such seed is a day with five control nodes, two of which may be lost at once.
const pairsEvery = 5

// Closings are the faults that end a day.
var Closings = []string{"", "kill-all", "power-off-all", "wipe-after-ack-all"}

// DrawRouted picks faults from a seed, from shuffled decks of all the kinds.
func DrawRouted(seed int64, count int, durationUs int64) []Fault {
	r := rand.New(rand.NewSource(seed * 13))
	faults := []Fault{}
	for i := range count {
		place := seed*int64(count) + int64(i)
		deck := rand.New(rand.NewSource(place / int64(len(routedFaultKinds)))).Perm(len(routedFaultKinds))
		f := Fault{Kind: routedFaultKinds[deck[place%int64(len(routedFaultKinds))]], A: r.Intn(100), B: r.Intn(100), N: 1 + r.Intn(12)}
		f.AtUs = durationUs*int64(i)/int64(count) + r.Int63n(durationUs/int64(count))
		f.DurationUs = 500*millisecond + r.Int63n(5*second)
		if i > 0 && r.Intn(3) == 0 {
			f.AtUs = faults[i-1].AtUs + r.Int63n(800*millisecond)
		}
		if f.Kind == "turning-replica" {
			f.DurationUs += 3 * second
		}
		faults = append(faults, f)
	}
	return faults
}

// DrawPairs is DrawRouted with every second fault one that strikes two control nodes.
func DrawPairs(seed int64, count int, durationUs int64) []Fault {
	faults := DrawRouted(seed, count, durationUs)
	for i := range faults {
		if i%2 == 0 {
			faults[i].Kind = pairFaultKinds[(int(seed)/pairsEvery+i/2)%len(pairFaultKinds)]
		}
	}
	return faults
}

func pickOf[T any](all []T, n int) (v T, ok bool) {
	if len(all) == 0 {
		return v, false
	}
	return all[n%len(all)], true
}

// tryFault brings a fault about, and counts it only where it was truly brought about.
func (d *routedDay) tryFault(f Fault) {
	d.logf("fault %s", f)
	if !d.renameFault(f) && !d.ackLossFault(f) && !d.tenantFault(f) && !d.applyFault(f) {
		d.logf("left out %s: it cannot be caused now", f.Kind)
		return
	}
	if !countsItself(f.Kind) {
		d.countFault(f)
	}
}

func (d *routedDay) applyFault(f Fault) bool {
	controlNodes := d.upControlNodes()
	o, haveControlNode := pickOf(controlNodes, f.A)
	t := d.gateways[f.A%len(d.gateways)]
	cards := d.running("cards")
	p, haveCard := pickOf(cards, f.A)
	for _, other := range controlNodes {
		if other.isLeader() && (f.Kind == "kill-holder" || f.Kind == "freeze-holder" || f.Kind == "notice-race") {
			o = other
		}
	}
	switch f.Kind {
	case "kill-office", "kill-holder", "power-office", "freeze-office", "freeze-holder", "stall-disk", "slow-disk", "full-disk", "replace-office", "replace-planned", "cut-office", "cut-lured", "one-way", "split-core",
		"kill-offices", "roll-offices":
		return haveControlNode && d.controlNodeFault(f, o)
	case "kill-pair", "power-pair", "freeze-pair", "cut-pair", "replace-pair":
		return haveControlNode && d.pairFault(f, o, d.nextControlNode(o, f.B))
	case "cut-behind", "cut-split", "cut-both", "cut-relieve", "cut-turn", "cut-seeds", "power-keeping", "ack-lost-race", "herd-power-order", "herd-power-work", "config-flood":
		return haveControlNode && d.worstFault(f, o)
	case "wipe-after-ack", "power-after-ack", "wipe-pair-after-ack":
		return d.afterAck(f)
	case "power-after-taking":
		d.taking = append(d.taking, func(t *routedGateway) {
			if t.up {
				d.countFault(f)
				t.crash(false)
				d.schedule(d.nowUs+f.DurationUs, t.start)
			}
		})
	case "power-after-send":
		d.operators.struckFaults = append(d.operators.struckFaults, f)
		d.operators.do(d.operators.change)
	case "ack-lost":
		d.operators.loseAnswers(f)
	case "give-up":
		d.clients.giveUp(f)
	case "retry-abuse":
		return haveCard && d.abuseBudgetFault(f, p)
	case "kill-zone":
		d.killZone([]string{"a", "b", "c"}[f.A%3], f)
	case "cut-desk", "kill-desk", "herd-kill", "roll-desks", "freeze-desk", "clock-step":
		return d.gatewayFault(f, t)
	case "config-change":
		d.operators.do(d.operators.change)
	case "config-storm":
		for range 3 + f.N%4 {
			d.operators.do(d.operators.change)
		}
	case "config-race":
		d.operators.do(d.operators.race)
	case "config-rivals":
		for range 1 + f.N%3 {
			d.operators.do(d.operators.rivals)
		}
	case "config-again":
		for range 2 + f.N%5 {
			d.operators.do(d.operators.again)
		}
	case "bad-config":
		for range 1 + f.N%3 {
			d.operators.do(d.operators.bad)
		}
	case "big-config":
		d.operators.do(d.operators.grow(20 + 10*f.N))
	case "burst":
		d.clients.callsPerSecond = d.plan.CallsPerSecond * (1.5 + float64(f.N)/8)
		d.schedule(d.nowUs+f.DurationUs, func() { d.clients.callsPerSecond = d.plan.CallsPerSecond })
	case "burst-rare":
		d.clients.rareModelFactor = 1.5 + float64(f.N)/10
		d.schedule(d.nowUs+f.DurationUs, func() { d.clients.rareModelFactor = 1 })
	case "model-shift":
		d.clients.modelShift += 2 + f.N%6
	case "slow-store":
		d.store.Slow(float64(2 + f.N))
		d.schedule(d.nowUs+f.DurationUs, func() { d.store.Slow(1) })
	case "swap-seeds":
		d.swapSeeds()
	case "loss":
		d.lossy(f)
	default:
		return haveCard && d.replicaFault(f, p, cards)
	}
	return true
}

// swapSeeds names other seeds, and tells the gateways.
func (d *routedDay) swapSeeds() {
	d.seeds = slices.Clone(d.currentSeeds())
	slices.Reverse(d.seeds)
	d.seeds = d.seeds[:min(len(d.seeds), seedsMost)]
	for _, t := range d.gateways {
		t.deliver(t.boot, func() { t.seeded() })
	}
}
