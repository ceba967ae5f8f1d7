package simulator

import (
	"fmt"
	"testing"

	"petreltide/internal/dataplane/gateway"
)

// moved plays long resumable streams over a replica under short notice and tells how many ran there when
// it was noticed, how many of them it still ran when it was taken, and the progress of those.
func moved(t *testing.T, seed int64, plant string, leftUs int64) (ran, cut, cutPieces, ended, calls int) {
	t.Helper()
	p := plan(seed, 0)
	p.Changes, p.Plant, p.UseDeclaredReplicas, p.LossRatio = false, plant, true, 0
	s := New(p)
	s.operators.begin()
	s.until(t, "up", func() bool { return s.operators.grown && s.recovered() })
	s.runUntil(s.nowUs + 6*second)
	fromUs := s.nowUs
	for n := 0; n < 120; n++ {
		ask := gateway.CallRequest{Kind: "pages", Model: p.modelAt(s, n), Prompt: fmt.Sprintf("move-%d-%d go", seed, n), MaxOutput: 60}
		s.schedule(fromUs+int64(n)*25*millisecond, func() { s.sendCall(ask, "", n, 0) })
	}
	s.runUntil(fromUs + 2500*millisecond)
	gpu := s.servers["gpu-0"]
	running := map[string]bool{}
	for _, attempt := range gpu.core.Attempts() {
		running[attempt.Attempt] = true
	}
	s.noticeReplica(gpu, leftUs)
	s.runUntil(s.nowUs + leftUs - 5*millisecond)
	for _, attempt := range gpu.core.Attempts() {
		if running[attempt.Attempt] {
			cut++
			cutPieces += attempt.Sent
		}
	}
	if !s.runUntil(s.nowUs + 20*second) {
		t.Fatal(s.watch.Breaches)
	}
	for _, told := range s.results {
		calls++
		if told.Complete || told.Code == "hung up" {
			ended++
		}
	}
	return len(running), cut, cutPieces, ended, calls
}

func (p DeclaredPlan) modelAt(s *DeclaredDay, n int) string { return s.plan.Doc.Models[n%4].Name }

// Attempts that may be resumed leave a replica under notice while survivors have room; the project's earlier
// version, which left them there, is the planted one.
func TestResumableAttemptsMoveOffAReplicaUnderNotice(t *testing.T) {
	heavy(t)
	for _, leftUs := range []int64{600 * millisecond, 900 * millisecond} {
		sum := map[string][4]int{}
		for _, plant := range []string{"", "still"} {
			var ran, cut, ended, calls int
			for seed := int64(1); seed <= 6; seed++ {
				r, c, _, e, n := moved(t, seed, plant, leftUs)
				ran, cut, ended, calls = ran+r, cut+c, ended+e, calls+n
			}
			sum[plant] = [4]int{ran, cut, ended, calls}
			t.Logf("%d ms of notice, moves %v: %d attempts ran there when it was noticed, %d still when it was taken; %d of %d calls ended well or were hung up", leftUs/1000, plant == "", ran, cut, ended, calls)
		}
		with, without := sum[""], sum["still"]
		if with[0] < 20 || with[1]*4 > without[1] || with[2] < with[3] {
			t.Errorf("%d ms: with moves %v, without %v", leftUs/1000, with, without)
		}
	}
}
