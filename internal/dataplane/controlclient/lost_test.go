package controlclient

import (
	"fmt"
	"math/rand"
	"testing"

	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// Control nodes that were replaced stay on a gateway's list. However many of them precede the live one in the gateway's order, the
// gateway follows the live one within one round of attempts.
func TestGatewayFindsLiveControlNodeAmongLostOnes(t *testing.T) {
	for lost := 1; lost <= 16; lost++ {
		for seed := range int64(20) {
			t.Run(fmt.Sprintf("%d lost, seed %d", lost, seed), func(t *testing.T) {
				checkFollowsLiveControlNode(t, lost, seed)
			})
		}
	}
}

// checkFollowsLiveControlNode lets a gateway follow two control nodes, then stops all control nodes that it knows but one, and checks
// that it follows that one.
func checkFollowsLiveControlNode(t *testing.T, lost int, seed int64) {
	const slackUs = 2 * clock.Sec
	changes := &changeLog{r: rand.New(rand.NewSource(1)), state: statemachine.NewState()}
	changes.appendConfig()
	controlNodes := []*testControlNode{}
	for i := range lost + 1 {
		o := newTestControlNode(fmt.Sprintf("core-%d", i))
		o.apply(changes.changes, len(changes.changes))
		controlNodes = append(controlNodes, o)
	}
	s := newTestGateway(t, fmt.Sprint("gateway-", seed), controlNodes...)
	nowUs, r := clock.Sec, rand.New(rand.NewSource(1))
	for ; s.snapshot == nil || s.snapshot.Declaration == nil; nowUs += 50 * clock.Ms {
		s.deliverFrames(nowUs, r, 0)
	}
	live := controlNodes[r.Intn(len(controlNodes))]
	for _, o := range controlNodes {
		s.down[o.addr] = o != live
	}
	for _, stream := range s.openStreams() {
		if s.streams[stream] != live {
			s.loseStream(nowUs, stream)
		}
	}
	roundUs := int64(len(controlNodes)) * openIntervalUs
	for endUs := nowUs + roundUs + slackUs; s.informer.LiveStreamCount() == 0; nowUs += 50 * clock.Ms {
		if nowUs > endUs {
			t.Fatalf("live streams %d ms after the loss: got 0, want at least 1", (roundUs+slackUs)/clock.Ms)
		}
		s.deliverFrames(nowUs, r, 0)
	}
}

// A control node that answers again returns to its regular position in the order.
func TestControlNodeThatAnswersAgainIsNoLongerRankedLast(t *testing.T) {
	m := NewInformer(Options{Gateway: "g", Incarnation: "i", Seeds: []string{"a"}})
	m.failedAtUs["a"] = clock.Sec
	m.sources[1] = &source{stream: 1, addr: "a", live: true}
	m.setLive(m.sources[1])
	m.streamClosed(2*clock.Sec, 1)
	if _, failed := m.failedAtUs["a"]; failed {
		t.Error("a stream that had received frames is recorded as failed")
	}
}
