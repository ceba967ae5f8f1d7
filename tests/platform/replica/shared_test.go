package replica

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"petreltide/internal/api/configuration"
)

const (
	sharedReplicas = 4
	sharedRounds   = 300
	sharedLoadUs   = int64(1_000)
)

// sharedEngine has room for one model, whose load from the store takes sharedLoadUs while nothing else loads.
func sharedEngine() *Engine {
	e := EngineOf(&configuration.Engine{CacheTokens: 1_000, CapacityMB: 100, MaxAdapters: 1})
	e.Models["m"] = Model{SizeMb: 100, LoadUs: sharedLoadUs, WarmUs: sharedLoadUs}
	return e
}

// together runs one function for each of a number of replicas, all at once.
func together(n int, run func(i int)) {
	var group sync.WaitGroup
	for i := range n {
		group.Add(1)
		go func() {
			defer group.Done()
			run(i)
		}()
	}
	group.Wait()
}

// Replicas advance under locks of their own, so what they share must be safe without one: the race detector
// judges this test as well, and the store's count must not be lost either way.
func TestReplicasShareOneStore(t *testing.T) {
	store := &Store{AtOnce: 1}
	together(sharedReplicas, func(i int) {
		nowUs := int64(1_000_000)
		for round := range sharedRounds {
			c := NewCore(Options{ID: fmt.Sprintf("i-%d-%d", i, round), Engine: sharedEngine(), Store: store})
			if status := c.Order(nowUs, Order{Operation: "loading", Model: "m", Holder: "h", Fence: 1}); status != http.StatusAccepted {
				t.Errorf("a load got status %d", status)
				return
			}
			nowUs += sharedReplicas * sharedLoadUs
			if round%3 == 0 {
				c.Kill(nowUs)
				continue
			}
			c.Step(nowUs)
			if len(c.Units()) != 1 {
				t.Errorf("after %d times the load's own time the replica holds %v", sharedReplicas, c.Units())
				return
			}
		}
	})
	if n := store.Running(); n != 0 {
		t.Fatalf("nothing loads any more, but the store counts %d loads", n)
	}
}

// Lives that follow each other on one machine share its disk, and the last one may still be ending.
func TestLivesShareOneDisk(t *testing.T) {
	disk := NewDisk()
	together(sharedReplicas, func(i int) {
		nowUs := int64(1_000_000)
		for round := range sharedRounds {
			c := NewCore(Options{ID: fmt.Sprintf("i-%d-%d", i, round), Engine: sharedEngine(), Disk: disk})
			c.Order(nowUs, Order{Operation: "loading", Model: "m", Holder: "h", Fence: 1})
			nowUs += sharedLoadUs
			c.Step(nowUs)
		}
	})
	if !disk.Has("m") {
		t.Fatal("a model that was loaded is not on the disk")
	}
}

// An incarnation that has ended takes nothing any more: a request or an order that was on its way when it ended
// would otherwise be journalled after the day has been judged.
func TestAnIncarnationThatEndedTakesNothing(t *testing.T) {
	arrivals, orders := 0, 0
	store := &Store{AtOnce: 1}
	c := NewCore(Options{ID: "i-1", Slots: 1, Queue: 1, Engine: sharedEngine(), Store: store, Journal: Journal{
		Arrived: func(*Arrival) { arrivals++ },
		Ordered: func(OrderSeen) { orders++ },
	}})
	c.Kill(1_000_000)
	effects := c.Take(1_000_001, 1, Ask{ID: "r-1", Body: "x/1", DeadlineUs: 2_000_000})
	if arrivals != 0 || len(effects) != 1 || !effects[0].Broken {
		t.Errorf("after the end of its incarnation it noted %d requests and sent %+v, want none and a broken connection", arrivals, effects)
	}
	status := c.Order(1_000_002, Order{Operation: "loading", Model: "m", Holder: "h", Fence: 1})
	if orders != 0 || status != 0 || store.Running() != 0 {
		t.Errorf("after the end of its incarnation it noted %d orders, answered %d and the store counts %d loads", orders, status, store.Running())
	}
}
