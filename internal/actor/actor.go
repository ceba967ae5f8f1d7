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

// Ask runs act on the actor and waits for it; false means that it may not have run.
func (a *Actor) Ask(ctx context.Context, act func()) bool {
	done := make(chan struct{})
	select {
	case a.mailbox <- func() { act(); close(done) }:
	case <-ctx.Done():
		return false
	case <-a.Ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	case <-a.Ctx.Done():
		return false
	}
}

// Stop ends the loop and every helper that watches Ctx; End waits for them too.
func (a *Actor) Stop() { a.stop() }

func (a *Actor) End() {
	a.stop()
	a.group.Wait()
}
