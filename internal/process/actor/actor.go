package actor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Actor is a goroutine that owns a state, together with helper goroutines of the same lifetime.
type Actor struct {
	mailbox chan func()
	Ctx     context.Context
	stop    context.CancelFunc
	group   sync.WaitGroup
}

// New returns an actor whose mailbox holds the given number of functions before Tell and Ask block. It runs nothing until
// Loop is called.
func New(mailboxCapacity int) *Actor {
	ctx, stop := context.WithCancel(context.Background())
	return &Actor{mailbox: make(chan func(), mailboxCapacity), Ctx: ctx, stop: stop}
}

// Spawn runs a helper on its own goroutine; End waits for it to return.
func (a *Actor) Spawn(run func()) {
	a.group.Add(1)
	go func() {
		defer a.group.Done()
		run()
	}()
}

// Loop runs the functions in the mailbox, and tick at the given interval, until the actor is stopped.
func (a *Actor) Loop(every time.Duration, tick func()) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-a.Ctx.Done():
			return
		case act := <-a.mailbox:
			act()
		case <-ticker.C:
			tick()
		}
	}
}

// Tell puts a function into the mailbox and does not wait for it to run; it blocks while the mailbox is full. Once the actor
// has been stopped, the function is dropped.
func (a *Actor) Tell(act func()) {
	select {
	case a.mailbox <- act:
	case <-a.Ctx.Done():
	}
}

// Ask runs act on the actor and waits for its value. If it returns false, with the zero value, act has not run and never
// will: a caller that stops waiting cancels it. Once act has started, Ask waits until it returns, even after ctx is done, so
// that the caller does not continue while the function is still running.
func Ask[T any](ctx context.Context, a *Actor, act func() T) (T, bool) {
	var none T
	var taken atomic.Bool // set by the actor before it runs act, or by the caller to cancel it
	value := make(chan T, 1)
	select {
	case a.mailbox <- func() {
		if taken.CompareAndSwap(false, true) {
			value <- act()
		}
	}:
	case <-ctx.Done():
		return none, false
	case <-a.Ctx.Done():
		return none, false
	}
	select {
	case v := <-value:
		return v, true
	case <-ctx.Done():
	case <-a.Ctx.Done():
	}
	if taken.CompareAndSwap(false, true) {
		return none, false
	}
	return <-value, true
}

// Do runs act on the actor, waits for it and reports whether it ran, under the same conditions as Ask. To get a value back
// from act, use Ask.
func (a *Actor) Do(ctx context.Context, act func()) bool {
	_, ran := Ask(ctx, a, func() struct{} { act(); return struct{}{} })
	return ran
}

// Stop cancels Ctx, which ends the loop and every helper that watches Ctx. It does not wait for them; End does.
func (a *Actor) Stop() { a.stop() }

// End stops the actor like Stop and waits until every helper has returned.
func (a *Actor) End() {
	a.stop()
	a.group.Wait()
}
