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

func newRoute(i int, version uint64) configuration.Route {
	source := fmt.Sprintf(`{"name":"route-%d","host":"host-%d.example","prefix":"/place-%d/","repeat":"idempotent","waitMs":%d,"tries":3,"goesTo":[{"pool":"s","part":100}],"owner":"o%d"}`, i, i%7, i, 4000+version, i%40)
	return configuration.Route{
		Name: fmt.Sprint("route-", i), Host: fmt.Sprintf("host-%d.example", i%7), Prefix: fmt.Sprintf("/place-%d/", i),
		RetryClass: configuration.Idempotent, TimeoutMs: int64(4000 + version), MaxAttempts: 3,
		Split: []configuration.WeightedService{{Service: "s", Weight: 100}}, Source: json.RawMessage(source),
	}
}

func newRoutes(count int, version uint64) []configuration.Route {
	all := []configuration.Route{}
	for i := range count {
		all = append(all, newRoute(i, version))
	}
	return all
}

// replaceAndEdit returns a function that makes every tenth change a complete declaration and the others edits of three routes.
func replaceAndEdit(routes int) func(version uint64) *statemachine.ConfigChange {
	return func(version uint64) *statemachine.ConfigChange {
		change := &statemachine.ConfigChange{Base: version - 1, Version: version}
		if version%10 == 1 {
			change.Doc = &configuration.Declaration{Name: "day", Version: version, Routes: newRoutes(routes, version), Services: []configuration.Service{{Name: "s"}}}
		} else {
			change.Edit = &configuration.Edit{Version: version, Routes: newRoutes(3, version)}
		}
		return change
	}
}

// diskFate is the disk that a stopped machine restarts with.
type diskFate string

const (
	diskKept     diskFate = "its old disk"
	diskReplaced diskFate = "an empty disk"
)

// restart starts a stopped member, with an empty disk or with the disk that a power loss left.
func (m *member) restart(fate diskFate) {
	if fate == diskReplaced {
		m.loseDisk()
	} else {
		m.disk = m.disk.randomAfterPowerLoss(rand.New(rand.NewSource(1))).withAllDurable()
	}
	m.receivedBytes, m.snapshotBytes = 0, 0
	m.start(false)
}

// maxCatchUpUs bounds the time that a restarted member may take to rejoin the view, regain its vote and receive all
// acknowledged entries while changes continue.
const maxCatchUpUs = 4 * clock.Sec

// maxAcknowledgeUs is the users' limit for an acknowledgement: acknowledgeMs plus 3 ms per route.
func maxAcknowledgeUs(routes int) int64 { return 4*clock.Sec + int64(routes)*3*clock.Ms }

// A member that was down during many changes catches up within maxCatchUpUs while changes continue, receives about one
// snapshot, and delays no acknowledgement beyond maxAcknowledgeUs.
func TestMemberDownDuringManyChangesCatchesUp(t *testing.T) {
	type testCase struct {
		routes, changes, place int
		fate                   diskFate
	}
	cases := []testCase{}
	for place := range 3 {
		for _, fate := range []diskFate{diskKept, diskReplaced} {
			cases = append(cases, testCase{10, 2000, place, fate}, testCase{900, 150, place, fate})
		}
	}
	cases = append(cases, testCase{900, 2000, 2, diskKept})
	if raceEnabled {
		cases = []testCase{{10, 100, 0, diskKept}, {10, 100, 2, diskReplaced}}
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d routes, %d changes, place %d, %s", c.routes, c.changes, c.place, c.fate), func(t *testing.T) {
			t.Parallel()
			if violation := runAbsence(t, newCluster(t, c.routes, replaceAndEdit(c.routes)), c.changes, c.place, c.fate, costs{linkNsPerByte, codeNsPerByte}); violation != "" {
				t.Fatal(violation)
			}
		})
	}
}

// runAbsence stops a member for the given number of changes, restarts it and returns the first rule that was violated.
func runAbsence(t *testing.T, c *cluster, changes, place int, fate diskFate, snapshotCosts costs) string {
	c.awaitChanges(20)
	slowestBeforeUs := c.slowestUs
	m := c.memberAt(place)
	m.stop()
	c.slowestUs = 0
	c.awaitChanges(changes)
	slowestDuringAbsenceUs := c.slowestUs
	c.slowestUs, c.snapshotCosts = 0, snapshotCosts
	m.restart(fate)
	restartUs, firstChange := c.nowUs, c.changes
	if !c.advance(maxCatchUpUs, m.caughtUp) {
		c.fail("restarted member has not caught up after %d ms: phase %s, waiting for %q, at entry %d of %d",
			maxCatchUpUs/clock.Ms, m.node.Phase(), m.node.WaitReason(), m.node.CommitIndex(), c.acknowledgedIndex)
	}
	tookUs, snapshotBytes := c.nowUs-restartUs, m.snapshotBytes
	c.advance(2*clock.Sec, nil)
	if waitingUs := c.nowUs - c.sentUs; c.change != nil {
		c.slowestUs = max(c.slowestUs, waitingUs)
	}
	if c.slowestUs > maxAcknowledgeUs(c.routes) {
		c.fail("change %d was acknowledged after %d ms, want at most %d ms",
			c.slowestChange, c.slowestUs/clock.Ms, maxAcknowledgeUs(c.routes)/clock.Ms)
	}
	if c.changes < firstChange+5 {
		c.fail("changes since the restart: got %d, want at least 5", c.changes-firstChange)
	}
	if state := int64(len(m.node.State().Encode())); snapshotBytes > 2*state+64<<10 {
		c.fail("received snapshots: got %d bytes, want at most %d for a state of %d bytes", snapshotBytes, 2*state+64<<10, state)
	}
	if c.maxDiskBytes > halfDiskBytes {
		c.fail("disk usage: got %d bytes, want at most %d", c.maxDiskBytes, halfDiskBytes)
	}
	t.Logf("caught up after %d ms; %d KB received until 2 s later, %d KB of them snapshots until caught up; slowest acknowledgement "+
		"before the absence %d ms, during it %d ms, since the restart %d ms; %d changes since the restart; up to %.1f MB on a disk",
		tookUs/clock.Ms, m.receivedBytes>>10, snapshotBytes>>10, slowestBeforeUs/clock.Ms, slowestDuringAbsenceUs/clock.Ms, c.slowestUs/clock.Ms, c.changes-firstChange, float64(c.maxDiskBytes)/(1<<20))
	return c.violation
}

// Mutations of the cost model that the check must detect: a link that is too slow for a snapshot, and a core that is blocked
// while it encodes one.
func TestCatchUpCheckCanFail(t *testing.T) {
	for mutation, c := range map[string]costs{
		"slow link":    {linkNs: 200_000, codeNs: codeNsPerByte},
		"blocked core": {linkNs: linkNsPerByte, codeNs: 200_000},
	} {
		violation := runAbsence(t, newCluster(t, 10, replaceAndEdit(10)), 300, 1, diskKept, c)
		if violation == "" {
			t.Errorf("mutation %q: got no violation, want one", mutation)
		}
		t.Logf("%s: %s", mutation, violation)
	}
}
