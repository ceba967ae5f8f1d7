package controlclient

import (
	"fmt"
	"math/rand"
	"testing"

	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// Control nodes that were replaced stay on a gateway's list. However many of them come first in its own order, it meets
// the one that lives within a round of tries.
func TestAGatewayMeetsTheControlNodeThatLivesAmongMany(t *testing.T) {
	for lost := 1; lost <= 16; lost++ {
		for seed := range int64(20) {
			t.Run(fmt.Sprintf("%d lost, seed %d", lost, seed), func(t *testing.T) {
				meetsTheLiving(t, lost, seed)
			})
		}
	}
}

// meetsTheLiving lets a gateway follow two control nodes and loses both and others that it has heard of; one is left.
func meetsTheLiving(t *testing.T, lost int, seed int64) {
	const patienceUs = 2 * clock.Sec
	changes := &chronicle{r: rand.New(rand.NewSource(1)), head: statemachine.NewState()}
	changes.config()
	cores := []*core{}
	for i := range lost + 1 {
		o := newCore(fmt.Sprintf("core-%d", i))
		o.apply(changes.log, len(changes.log))
		cores = append(cores, o)
	}
	s := newScreen(t, fmt.Sprint("gateway-", seed), cores...)
	nowUs, r := clock.Sec, rand.New(rand.NewSource(1))
	for ; s.snap == nil || s.snap.Declaration == nil; nowUs += 50 * clock.Ms {
		s.carry(nowUs, r, 0)
	}
	lives := cores[r.Intn(len(cores))]
	for _, o := range cores {
		s.down[o.addr] = o != lives
	}
	for _, stream := range s.open() {
		if s.streams[stream] != lives {
			s.lose(nowUs, stream)
		}
	}
	roundUs := int64(len(cores)) * openIntervalUs
	for endUs := nowUs + roundUs + patienceUs; s.m.LiveStreamCount() == 0; nowUs += 50 * clock.Ms {
		if nowUs > endUs {
			t.Fatalf("it follows nobody %d ms after the loss", (roundUs+patienceUs)/clock.Ms)
		}
		s.carry(nowUs, r, 0)
	}
}

// A control node that answers again is in its place once more.
func TestAControlNodeThatAnswersIsNoLongerLast(t *testing.T) {
	m := NewInformer(Options{Gateway: "g", Incarnation: "i", Seeds: []string{"a"}})
	m.failedAtUs["a"] = clock.Sec
	m.sources[1] = &source{stream: 1, addr: "a", live: true}
	m.setLive(m.sources[1])
	m.streamClosed(2*clock.Sec, 1)
	if _, failed := m.failedAtUs["a"]; failed {
		t.Error("a stream that had brought frames counts as one that never came up")
	}
}
