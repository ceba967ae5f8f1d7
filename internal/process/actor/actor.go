package actor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Actor is one goroutine that owns a state, and the helpers that live as long as it does.
type Actor struct {
	mailbox chan func()
	Ctx     context.Context
	stop    context.CancelFunc
	group   sync.WaitGroup
}

// New makes an actor whose mailbox holds so many functions before Tell and Ask wait. It runs nothing until Loop is called.
func New(mailboxCapacity int) *Actor {
	ctx, stop := context.WithCancel(context.Background())
	return &Actor{mailbox: make(chan func(), mailboxCapacity), Ctx: ctx, stop: stop}
}

// Spawn runs a helper on a goroutine of its own; End waits for it.
func (a *Actor) Spawn(run func()) {
	a.group.Add(1)
	go func() {
		defer a.group.Done()
		run()
	}()
}

// Loop runs what is told and asked, and tick, until the actor is ended.
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

// Tell puts a function into the mailbox and does not wait until it has run. Once the actor has ended it is dropped.
func (a *Actor) Tell(act func()) {
	select {
	case a.mailbox <- act:
	case <-a.Ctx.Done():
	}
}

// Ask runs act on the actor and waits for its value. False, with the zero value, means that act has not
// run and never will: whoever stops waiting takes it back. Once act has begun Ask waits for its end, also
// past ctx, so that nobody goes on beside a function that still runs.
func Ask[T any](ctx context.Context, a *Actor, act func() T) (T, bool) {
	var none T
	var taken atomic.Bool // by the actor, to run it, or by the caller, who no longer wants it
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

// Do runs act on the actor and waits for it. It returns nothing that act could have written: only Ask
// brings a value back.
func (a *Actor) Do(ctx context.Context, act func()) bool {
	_, ran := Ask(ctx, a, func() struct{} { act(); return struct{}{} })
	return ran
}

// Stop ends the loop and every helper that watches Ctx; End waits for them too.
func (a *Actor) Stop() { a.stop() }

// End ends the loop as Stop does, and waits until every helper has returned.
func (a *Actor) End() {
	a.stop()
	a.group.Wait()
}
