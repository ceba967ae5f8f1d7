package office

import (
	"context"
	"time"

	"petreltide/internal/actor"
	"petreltide/internal/clock"
	"petreltide/internal/fault"
	"petreltide/internal/ledger"
	"petreltide/internal/roster"
	"petreltide/internal/rpc"
	"petreltide/internal/standing"
	"petreltide/internal/wire"
)

const (
	framesMost = 256
	readWait   = 700 * time.Millisecond
)

// framed is one desk's stream; one that does not keep up is ended, and the desk follows anew.
type framed struct {
	inc    string
	frames chan *wire.Frame
	over   chan struct{}
}

func (h *Host) frame(desk string, f *wire.Frame) {
	s := h.frames[desk]
	if s == nil {
		return
	}
	select {
	case s.frames <- f:
	default:
		delete(h.frames, desk)
		close(s.over)
	}
}

func (h *Host) serveFrames(ctx context.Context, f *wire.Follow, send func(*wire.Frame) error) error {
	mine := &framed{inc: f.Inc, frames: make(chan *wire.Frame, framesMost), over: make(chan struct{})}
	defer h.act.Tell(func() {
		if h.frames[f.Desk] == mine {
			delete(h.frames, f.Desk)
			h.step(Event{Unfollow: &Unfollow{Desk: f.Desk, Inc: f.Inc}})
		}
	})
	if !h.act.Do(ctx, func() {
		if prior := h.frames[f.Desk]; prior != nil {
			close(prior.over)
		}
		h.frames[f.Desk] = mine
		h.step(Event{Subscribe: f})
	}) {
		return fault.New(fault.NotServing, "", "stopping")
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.act.Ctx.Done():
			return nil
		case <-mine.over:
			return fault.New(fault.NotServing, "", "followed anew, or too slow")
		case frame := <-mine.frames:
			if err := send(frame); err != nil {
				return err
			}
		}
	}
}

// Heard takes what a replica says of itself; true acknowledges it. It is known here all the same where this
// office is out of contact and cannot acknowledge it.
func (h *Host) Heard(ctx context.Context, row roster.Row) bool {
	return h.word(ctx, Event{Heard: &row})
}

// Left takes the word that a replica's life has ended; true acknowledges it.
func (h *Host) Left(ctx context.Context, id string) bool { return h.word(ctx, Event{Left: id}) }

func (h *Host) word(ctx context.Context, ev Event) bool {
	reply := make(chan bool, 1)
	var number uint64
	if !h.act.Do(ctx, func() {
		h.replySeq++
		number, ev.Reply = h.replySeq, h.replySeq
		h.words[number] = reply
		h.step(ev)
	}) {
		return false
	}
	select {
	case ok := <-reply:
		return ok
	case <-ctx.Done():
	case <-h.act.Ctx.Done():
	}
	return false
}

// Configure carries an operator's numbered version to the chain. The same mark is the same order, and is
// answered as it was the first time; no result means that it may yet be taken.
func (h *Host) Configure(ctx context.Context, mark string, c ledger.ConfigChange) (ledger.Outcome, bool) {
	id := "op-" + mark
	if out, seen := h.seen(ctx, id); seen {
		return out, true
	}
	result, ok := h.Submit(ctx, ledger.Change{ID: id, Config: &c}, answerWait)
	return result.Outcome, ok
}

// Read is a question for the newest declaration that was acknowledged.
type Read struct{}

// Newest answers Read.
type Newest struct {
	Doc      *standing.Declaration `json:"doc,omitempty"`
	Revision uint64                `json:"revision,omitempty"`
	Index    uint64                `json:"index,omitempty"`
}

// ownNewest is this office's state where it is the open tail, whose word is the newest there is.
func (h *Host) ownNewest(ctx context.Context) (Newest, bool) {
	type known struct {
		newest Newest
		open   bool
	}
	now, ran := actor.Ask(ctx, h.act, func() known {
		s := h.core.Node.State()
		return known{Newest{Doc: s.Doc, Revision: s.Revision, Index: s.Index}, h.core.Node.Open(clock.NowUs())}
	})
	return now.newest, ran && now.open
}

// Newest is the newest state that was acknowledged, asked of the tail; false where nobody can say.
func (h *Host) Newest(ctx context.Context) (Newest, bool) {
	if own, open := h.ownNewest(ctx); open {
		return own, true
	}
	tail, ran := actor.Ask(ctx, h.act, func() string { return h.core.Node.View().Tail().Addr })
	if !ran || tail == "" || tail == h.set.Advertise {
		return Newest{}, false
	}
	ctx, done := context.WithTimeout(ctx, readWait)
	defer done()
	got, err := rpc.NewCaller[Read, Newest](h.inner, tail, rpc.ReadPath).Call(ctx, &Read{})
	if err != nil {
		return Newest{}, false
	}
	return *got, true
}

// Declaration is the newest one that was acknowledged; false where nobody can say.
func (h *Host) Declaration(ctx context.Context) (*standing.Declaration, bool) {
	newest, known := h.Newest(ctx)
	return newest.Doc, known
}

func (h *Host) serveRead(ctx context.Context, _ *Read) (*Newest, error) {
	newest, open := h.ownNewest(ctx)
	if !open {
		return nil, fault.New(fault.NotServing, "", "not the open tail")
	}
	return &newest, nil
}
