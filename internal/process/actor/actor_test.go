package actor

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// If the context of Ask is canceled while the function runs, Ask must return either true with the value or false with the
// zero value. Both goroutines access the value, so the race detector finds a value that is shared.
func TestAskReturnsConsistentResultIfContextIsCanceledWhileFunctionRuns(t *testing.T) {
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
			t.Fatalf("Ask: got %d, %v, want 7, true or 0, false", got, ran)
		}
		<-over
	}
}

func TestAskReturnsValueAndFalseAfterEnd(t *testing.T) {
	a := New(4)
	a.Spawn(func() { a.Loop(time.Hour, func() {}) })
	if got, ran := Ask(context.Background(), a, func() string { return "seen" }); !ran || got != "seen" {
		t.Fatalf("Ask: got %q, %v, want \"seen\", true", got, ran)
	}
	a.End()
	if got, ran := Ask(context.Background(), a, func() string { return "seen" }); ran || got != "" {
		t.Fatalf("Ask after End: got %q, %v, want \"\", false", got, ran)
	}
	if a.Do(context.Background(), func() {}) {
		t.Fatal("Do after End: got true, want false")
	}
}

func start(a *Actor) { a.Spawn(func() { a.Loop(time.Hour, func() {}) }) }

// busy blocks the actor in a function until the returned function is called.
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

func TestAskCancelsQueuedFunction(t *testing.T) {
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
					t.Errorf("Ask of a function that has not started: got %+v, want the zero value and false", g)
				}
				free()
				synctest.Wait()
				a.End()
				if ran {
					t.Error("function ran after Ask returned false")
				}
			})
		})
	}
}

func TestAskWaitsForStartedFunction(t *testing.T) {
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
					t.Errorf("Ask returned %+v while the function was running", g)
					close(gate)
				default:
					close(gate)
					if g := <-got; g != (answer{7, true}) {
						t.Errorf("Ask of a function that returned 7: got %+v, want 7 and true", g)
					}
				}
				a.End()
			})
		})
	}
}

func TestDoWaitsForFullMailboxUntilContextIsCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(1)
		start(a)
		free := busy(a)
		a.Tell(func() {})
		ctx, cancel := context.WithCancel(t.Context())
		got := make(chan bool, 1)
		go func() { got <- a.Do(ctx, func() { t.Error("function ran after its context was canceled") }) }()
		synctest.Wait()
		cancel()
		if <-got {
			t.Error("Do with a full mailbox and a canceled context: got true, want false")
		}
		free()
		a.End()
	})
}

// Contexts are canceled at arbitrary points of an Ask. The result must say whether the function ran, and the race detector
// must find nothing shared between the function and a caller that stopped waiting.
func TestAskReportsWhetherFunctionRanUnderConcurrentCancellation(t *testing.T) {
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
					t.Errorf("caller %d, ask %d: got %d, %v, want %d, true or 0, false", c, i, v, ok, i)
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
				t.Errorf("caller %d, ask %d: Ask returned %v, function ran: %v", c, i, told[c][i], ran[c][i])
			}
		}
	}
	t.Logf("%d of %d functions ran", yes, callers*asks)
}
