package actor

import (
	"context"
	"sync"
	"time"
)

// Actor is one goroutine that owns a state, and the helpers that live as long as it does.
type Actor struct {
	mailbox chan func()
	Ctx     context.Context
	stop    context.CancelFunc
	group   sync.WaitGroup
}

func New(mailboxMost int) *Actor {
	ctx, stop := context.WithCancel(context.Background())
	return &Actor{mailbox: make(chan func(), mailboxMost), Ctx: ctx, stop: stop}
}

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

func (a *Actor) Tell(act func()) {
	select {
	case a.mailbox <- act:
	case <-a.Ctx.Done():
	}
}

// Ask runs act on the actor and brings back what it returned. False means that it may not have run, or
// may run later; what it returns then is never seen, so nobody reads what the actor still writes.
func Ask[T any](ctx context.Context, a *Actor, act func() T) (T, bool) {
	var none T
	answer := make(chan T, 1)
	select {
	case a.mailbox <- func() { answer <- act() }:
	case <-ctx.Done():
		return none, false
	case <-a.Ctx.Done():
		return none, false
	}
	select {
	case got := <-answer:
		return got, true
	case <-ctx.Done():
		return none, false
	case <-a.Ctx.Done():
		return none, false
	}
}

// Do runs act on the actor and waits for it. It returns nothing that act could have written: only Ask
// brings a value back.
func (a *Actor) Do(ctx context.Context, act func()) bool {
	_, ran := Ask(ctx, a, func() struct{} { act(); return struct{}{} })
	return ran
}

// Stop ends the loop and every helper that watches Ctx; End waits for them too.
func (a *Actor) Stop() { a.stop() }

func (a *Actor) End() {
	a.stop()
	a.group.Wait()
}
