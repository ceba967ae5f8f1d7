package actor

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// An asker whose context ends while the question runs is told both that it ran and its answer, or neither.
// Both sides touch the answer, so the race detector sees a shared one.
func TestAnAskerWhoLeftSeesNothingOfTheAnswer(t *testing.T) {
	a := New(4)
	a.Spawn(func() { a.Loop(time.Hour, func() {}) })
	defer a.End()
	for range 100 {
		ctx, leave := context.WithCancel(context.Background())
		begun, over := make(chan struct{}), make(chan struct{})
		go func() {
			<-begun
			leave()
		}()
		got, ran := Ask(ctx, a, func() int {
			defer close(over)
			close(begun)
			<-ctx.Done()
			return 7
		})
		if ran != (got == 7) {
			t.Fatalf("ran %v with the answer %d", ran, got)
		}
		<-over
	}
}

func TestAskBringsBackTheAnswerAndSaysWhenTheActorHasEnded(t *testing.T) {
	a := New(4)
	a.Spawn(func() { a.Loop(time.Hour, func() {}) })
	if got, ran := Ask(context.Background(), a, func() string { return "seen" }); !ran || got != "seen" {
		t.Fatalf("got %q, ran %v", got, ran)
	}
	a.End()
	if got, ran := Ask(context.Background(), a, func() string { return "seen" }); ran || got != "" {
		t.Fatalf("after the end got %q, ran %v", got, ran)
	}
	if a.Do(context.Background(), func() {}) {
		t.Fatal("an ended actor ran something")
	}
}

func start(a *Actor) { a.Spawn(func() { a.Loop(time.Hour, func() {}) }) }

// busy keeps the actor in one function until the returned call.
func busy(a *Actor) (free func()) {
	begun, gate := make(chan struct{}), make(chan struct{})
	a.Tell(func() {
		close(begun)
		<-gate
	})
	<-begun
	return func() { close(gate) }
}

type answer struct {
	value int
	ran   bool
}

func TestAFunctionNobodyWaitsForNeverRuns(t *testing.T) {
	for name, end := range map[string]func(a *Actor, cancel func()){
		"the caller's context ends": func(_ *Actor, cancel func()) { cancel() },
		"the actor stops":           func(a *Actor, _ func()) { a.Stop() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := New(8)
				start(a)
				free := busy(a)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				ran := false
				got := make(chan answer, 1)
				go func() {
					v, ok := Ask(ctx, a, func() int {
						ran = true
						return 7
					})
					got <- answer{v, ok}
				}()
				synctest.Wait()
				end(a, cancel)
				synctest.Wait()
				if g := <-got; g != (answer{}) {
					t.Errorf("before the function ran, Ask told %+v", g)
				}
				free()
				synctest.Wait()
				a.End()
				if ran {
					t.Error("it ran after its caller was told that it had not")
				}
			})
		})
	}
}

func TestAFunctionThatBeganIsWaitedFor(t *testing.T) {
	for name, end := range map[string]func(a *Actor, cancel func()){
		"the caller's context ends": func(_ *Actor, cancel func()) { cancel() },
		"the actor stops":           func(a *Actor, _ func()) { a.Stop() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := New(8)
				start(a)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				gate := make(chan struct{})
				got := make(chan answer, 1)
				go func() {
					v, ok := Ask(ctx, a, func() int {
						<-gate
						return 7
					})
					got <- answer{v, ok}
				}()
				synctest.Wait()
				end(a, cancel)
				synctest.Wait()
				select {
				case g := <-got:
					t.Errorf("while the function ran, Ask told %+v", g)
					close(gate)
				default:
					close(gate)
					if g := <-got; g != (answer{7, true}) {
						t.Errorf("the function ran to its end, Ask told %+v", g)
					}
				}
				a.End()
			})
		})
	}
}

func TestAFullMailboxIsWaitedForUntilTheContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(1)
		start(a)
		free := busy(a)
		a.Tell(func() {})
		ctx, cancel := context.WithCancel(t.Context())
		got := make(chan bool, 1)
		go func() { got <- a.Do(ctx, func() { t.Error("it ran") }) }()
		synctest.Wait()
		cancel()
		if <-got {
			t.Error("Do told that it ran")
		}
		free()
		a.End()
	})
}

// Contexts that end at any moment of an Ask: what is told is what happened, and under the race detector
// nothing is shared between the function and a caller who left.
func TestWhatAskTellsIsWhatHappened(t *testing.T) {
	a := New(4)
	start(a)
	var group sync.WaitGroup
	const callers, asks = 8, 2000
	ran := make([]map[int]bool, callers)
	told := make([]map[int]bool, callers)
	for c := range callers {
		ran[c], told[c] = map[int]bool{}, map[int]bool{}
		group.Go(func() {
			for i := 1; i <= asks; i++ {
				ctx, cancel := context.WithCancel(context.Background())
				go cancel()
				v, ok := Ask(ctx, a, func() int {
					ran[c][i] = true
					return i
				})
				if ok != (v == i) || !ok && v != 0 {
					t.Errorf("caller %d, ask %d: %d %v", c, i, v, ok)
				}
				told[c][i] = ok
			}
		})
	}
	group.Wait()
	a.End()
	yes := 0
	for c := range callers {
		for i := 1; i <= asks; i++ {
			if told[c][i] {
				yes++
			}
			if told[c][i] != ran[c][i] {
				t.Errorf("caller %d, ask %d: told %v, ran %v", c, i, told[c][i], ran[c][i])
			}
		}
	}
	t.Logf("%d of %d ran", yes, callers*asks)
}
