package failuredetector

import (
	"hash/fnv"
	"sort"

	"petreltide/internal/process/clock"
)

// How nodes watch each other.
const (
	// Watchers is how many nodes watch each one; all of them must report silence before it counts as failed.
	Watchers = 2
	// BeatUs is the time between two heartbeats, SilentUs how long none may come, and ForgetUs when a silent node is let go.
	BeatUs   = 200 * clock.Ms
	SilentUs = 900 * clock.Ms
	ForgetUs = 20 * clock.Sec
)

// Node is one place on the ring. ID tells processes apart that followed each other at one address.
type Node struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
}

// Beat is a heartbeat; Last says that no more will come, since the node ends in order.
type Beat struct {
	ID   string `json:"id"`
	Last bool   `json:"last,omitempty"`
}

// Silence is what one watcher reports: who has fallen silent, as it sees it.
type Silence struct {
	By     string   `json:"by"`
	Silent []string `json:"silent"`
}

func place(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// Named are the watchers of id: those that follow its place on the ring.
func Named(ring []Node, id string) []Node {
	others := []Node{}
	for _, n := range ring {
		if n.ID != id {
			others = append(others, n)
		}
	}
	own := place(id)
	sort.Slice(others, func(i, j int) bool {
		a, b := place(others[i].ID)-own, place(others[j].ID)-own
		if a != b {
			return a < b
		}
		return others[i].ID < others[j].ID
	})
	return others[:min(Watchers, len(others))]
}

// Left are those of before that are not among now.
func Left(before, now []Node) []Node {
	left := []Node{}
	for _, b := range before {
		kept := false
		for _, n := range now {
			kept = kept || n == b
		}
		if !kept {
			left = append(left, b)
		}
	}
	return left
}

// Watch remembers who beats at this node. It is asked who has fallen silent.
type Watch struct {
	heardUs map[string]int64
	lastUs  int64
}

// New is a watch that has heard nobody.
func New() *Watch { return &Watch{heardUs: map[string]int64{}} }

// Heard takes a heartbeat.
func (w *Watch) Heard(nowUs int64, b Beat) {
	w.awake(nowUs)
	if b.Last {
		delete(w.heardUs, b.ID)
		return
	}
	w.heardUs[b.ID] = nowUs
}

// awake: a watcher that was itself frozen has heard nobody, which says nothing of them.
func (w *Watch) awake(nowUs int64) {
	if w.lastUs > 0 && nowUs-w.lastUs > BeatUs*2 {
		for id, heardUs := range w.heardUs {
			w.heardUs[id] = heardUs + nowUs - w.lastUs
		}
	}
	w.lastUs = nowUs
}

// Silent are the nodes that were heard once and not for SilentUs, in order.
func (w *Watch) Silent(nowUs int64) []string {
	w.awake(nowUs)
	silent := []string{}
	for id, heardUs := range w.heardUs {
		switch {
		case nowUs-heardUs > ForgetUs:
			delete(w.heardUs, id)
		case nowUs-heardUs > SilentUs:
			silent = append(silent, id)
		}
	}
	sort.Strings(silent)
	return silent
}

// Jury counts who says that a node is silent; one watcher alone may itself be cut off.
type Jury struct {
	said map[string]said
}

type said struct {
	silent []string
	atUs   int64
}

// NewJury is a jury to which nobody has spoken.
func NewJury() *Jury { return &Jury{said: map[string]said{}} }

// Say takes a watcher's newest report in the place of its last.
func (j *Jury) Say(nowUs int64, s Silence) { j.said[s.By] = said{s.Silent, nowUs} }

// Gone says whether enough watchers have lately reported a node as silent.
func (j *Jury) Gone(nowUs int64, id string) bool {
	votes := 0
	for by, s := range j.said {
		if nowUs-s.atUs > ForgetUs {
			delete(j.said, by)
			continue
		}
		if nowUs-s.atUs > SilentUs {
			continue
		}
		for _, silent := range s.silent {
			if silent == id {
				votes++
			}
		}
	}
	return votes >= Watchers
}
