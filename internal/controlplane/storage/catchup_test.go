package storage

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

func routeNamed(i int, version uint64) configuration.Route {
	source := fmt.Sprintf(`{"name":"route-%d","host":"host-%d.example","prefix":"/place-%d/","repeat":"idempotent","waitMs":%d,"tries":3,"goesTo":[{"pool":"s","part":100}],"owner":"o%d"}`, i, i%7, i, 4000+version, i%40)
	return configuration.Route{
		Name: fmt.Sprint("route-", i), Host: fmt.Sprintf("host-%d.example", i%7), Prefix: fmt.Sprintf("/place-%d/", i),
		RetryClass: configuration.Idempotent, TimeoutMs: int64(4000 + version), MaxAttempts: 3,
		Split: []configuration.WeightedService{{Service: "s", Weight: 100}}, Source: json.RawMessage(source),
	}
}

func routesNamed(count int, version uint64) []configuration.Route {
	all := []configuration.Route{}
	for i := range count {
		all = append(all, routeNamed(i, version))
	}
	return all
}

// replaceAndEdit gives every tenth change as a whole configuration and the others as edits of three routes.
func replaceAndEdit(routes int) func(version uint64) *statemachine.ConfigChange {
	return func(version uint64) *statemachine.ConfigChange {
		change := &statemachine.ConfigChange{Base: version - 1, Version: version}
		if version%10 == 1 {
			change.Doc = &configuration.Declaration{Name: "day", Version: version, Routes: routesNamed(routes, version), Services: []configuration.Service{{Name: "s"}}}
		} else {
			change.Edit = &configuration.Edit{Version: version, Routes: routesNamed(3, version)}
		}
		return change
	}
}

// lost is what a machine comes back with.
type lost string

const (
	nothingLost lost = "its old disk"
	diskLost    lost = "an empty disk"
)

func (m *member) comeBack(with lost) {
	if with == diskLost {
		m.loseDisk()
	} else {
		m.disk = m.disk.afterOnePowerLoss(rand.New(rand.NewSource(1))).settled()
	}
	m.received, m.copies = 0, 0
	m.start(false)
}

// caughtUpWithin is how long a member that was down may take until it has its seat, its vote and all that was
// acknowledged, while changes go on.
const caughtUpWithin = 4 * clock.Sec

// acknowledgeUs is the users' bound on an acknowledgement: acknowledgeMs and 3 ms a route.
func acknowledgeUs(routes int) int64 { return 4*clock.Sec + int64(routes)*3*clock.Ms }

// A member that was down through many changes is caught up soon while they go on, at the cost of one copy, and no
// acknowledgement waits for it.
func TestMemberDownDuringManyChangesCatchesUp(t *testing.T) {
	type absence struct {
		routes, changes, place int
		with                   lost
	}
	cases := []absence{}
	for place := range 3 {
		for _, with := range []lost{nothingLost, diskLost} {
			cases = append(cases, absence{10, 2000, place, with}, absence{900, 150, place, with})
		}
	}
	cases = append(cases, absence{900, 2000, 2, nothingLost})
	if raced {
		cases = []absence{{10, 100, 0, nothingLost}, {10, 100, 2, diskLost}}
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d routes, %d changes, place %d, %s", c.routes, c.changes, c.place, c.with), func(t *testing.T) {
			t.Parallel()
			if why := downThrough(t, newCluster(t, c.routes, replaceAndEdit(c.routes)), c.changes, c.place, c.with, costs{linkNsPerByte, codeNsPerByte}); why != "" {
				t.Fatal(why)
			}
		})
	}
}

// downThrough takes a member away for so many changes, and says what is wrong with its return.
func downThrough(t *testing.T, c *cluster, changes, place int, with lost, copyCosts costs) string {
	c.acknowledge(20)
	before := c.worstUs
	m := c.place(place)
	m.stop()
	c.worstUs = 0
	c.acknowledge(changes)
	atLossUs := c.worstUs
	c.worstUs, c.copyCosts = 0, copyCosts
	m.comeBack(with)
	backUs, from := c.nowUs, c.changes
	if !c.pass(caughtUpWithin, m.caughtUp) {
		c.fail("not caught up after %d ms: %s, %s, at %d of %d", caughtUpWithin/clock.Ms, m.node.Phase(), m.node.WaitReason(), m.node.CommitIndex(), c.newest)
	}
	tookUs, copied := c.nowUs-backUs, m.copies
	c.pass(2*clock.Sec, nil)
	if waitsUs := c.nowUs - c.sentUs; c.change != nil {
		c.worstUs = max(c.worstUs, waitsUs)
	}
	if c.worstUs > acknowledgeUs(c.routes) {
		c.fail("change %d was acknowledged after %d ms", c.slowest, c.worstUs/clock.Ms)
	}
	if c.changes < from+5 {
		c.fail("only %d changes meanwhile", c.changes-from)
	}
	if state := int64(len(m.node.State().Encode())); copied > 2*state+64<<10 {
		c.fail("%d bytes of copies for a state of %d", copied, state)
	}
	if c.mostDisk > diskHalf {
		c.fail("%d bytes on a disk", c.mostDisk)
	}
	t.Logf("caught up after %d ms, %d KB received in 2 s more, %d KB of them copies; slowest acknowledgement before %d ms, at the loss %d ms, meanwhile %d ms; %d changes meanwhile; up to %.1f MB on a disk",
		tookUs/clock.Ms, m.received>>10, copied>>10, before/clock.Ms, atLossUs/clock.Ms, c.worstUs/clock.Ms, c.changes-from, float64(c.mostDisk)/(1<<20))
	return c.wrong
}

// Each must be seen: a link too slow for a copy, and a core that does nothing else while it encodes one.
func TestCatchUpCheckCanFail(t *testing.T) {
	for planted, c := range map[string]costs{
		"a slow link":    {linkNs: 200_000, codeNs: codeNsPerByte},
		"a core held up": {linkNs: linkNsPerByte, codeNs: 200_000},
	} {
		why := downThrough(t, newCluster(t, 10, replaceAndEdit(10)), 300, 1, nothingLost, c)
		if why == "" {
			t.Errorf("%s: not seen", planted)
		}
		t.Logf("%s: %s", planted, why)
	}
}
