package actor

import (
	"context"
	"testing"
	"time"
)

// A question whose asker has left goes on by itself: what it finds out must reach nobody, and the asker
// must be told that it has no answer. Both sides touch the answer, so the race detector sees a shared one.
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
