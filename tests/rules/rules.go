package rules

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"petreltide/tests/modelserver"
)

// What must never happen, as the brief words it.
const (
	RunsTwice    = "a request that cannot be resumed ran twice"
	NotRunLie    = "a client was told not run, but it ran"
	StreamBroken = "a stream lost, repeated or joined pieces, or looked complete too early"
	ForeignEnd   = "an answer of another request, or a success the replica never gave"
	AfterNotice  = "a request reached a replica more than 3 s after the notice"
	OldWay       = "a request was served the old way more than 2 s after the change was acknowledged"
	IntoEmptied  = "a request reached an emptied zone more than 5 s after it was acknowledged"
	TicketClash  = "two orders under one ticket, or an older ticket won"
	OverRoom     = "a replica was ordered to hold more than its room"
	OverStore    = "loads outran the weight store"
	ConfigLost   = "a refused configuration took effect, or an acknowledged one was lost"
	UnsyncedCopy = "an acknowledgement counted a disk that did not hold it"
	PoorService  = "service was still poor 12 s after the machines came back"
)

// All are the lines of the brief that must never happen.
var All = []string{RunsTwice, NotRunLie, StreamBroken, ForeignEnd, AfterNotice, OldWay, IntoEmptied, TicketClash, OverRoom, OverStore, ConfigLost, PoorService}

// How long after a notice, a change, an emptying and a return the rules begin to hold. Open is the end of what has none
// yet.
const (
	NoticeUs  = 3_000_000
	ChangeUs  = 2_000_000
	EmptyUs   = 5_000_000
	RecoverUs = 12_000_000
	Open      = int64(1) << 62
)

// Told is what one attempt of a caller saw.
type Told struct {
	Tag       string
	Key       string
	Kind      string
	Model     string
	Adapter   string
	Prompt    string
	MostOut   int
	Resumable bool
	Gateway   string
	Had       int
	Status    int
	Code      string
	Run       string
	RetryMs   int64
	Pieces    []string
	IDs       []int
	Ended     bool
	EndCount  int
	Broken    bool
	StartUs   int64
	TakenUs   int64
	FirstUs   int64
	EndUs     int64
}

// Span is the time in which something stood.
type Span struct {
	ID     string
	FromUs int64
	ToUs   int64
}

// Change is something operators changed, from its acknowledgement until it is changed again: which
// runs and which answers would be the old way.
type Change struct {
	Span
	Runs     func(r modelserver.Run, ask Told, nth int) bool
	Told     func(t Told) bool
	Concerns func(t Told) bool
}

// TakenOut is a model or an adapter that may not run any more.
func TakenOut(s Span) Change {
	return Change{
		Span:     s,
		Runs:     func(r modelserver.Run, _ Told, _ int) bool { return r.Model == s.ID || r.Adapter == s.ID },
		Concerns: func(t Told) bool { return t.Model == s.ID || t.Adapter == s.ID },
	}
}

// Seen is all that a run left to be judged.
type Seen struct {
	Runs       []modelserver.Run
	Orders     []modelserver.OrderSeen
	Told       []Told
	Notices    []Span
	Emptied    []Span
	Changes    []Change
	StoreBroke []string
}

// Breach is one rule broken, and how.
type Breach struct {
	Rule   string
	Detail string
}

func (b Breach) String() string { return b.Rule + ": " + b.Detail }

// Watch is told what callers, replicas, the store and operators see, one thing at a time, and
// never what the reducers say of themselves.
type Watch struct {
	runs      map[string][]*modelserver.Run
	byAttempt map[string]*modelserver.Run
	told      map[string]Told
	asks      map[string]Told
	keys      map[string]map[string]bool
	keyOf     map[string]string
	order     map[uint64]ticket
	taken     map[uint64]int
	last      map[string]uint64
	notices   []Span
	emptied   []Span
	old       []Change
	Stakes    map[string]int
	Breaches  []Breach
}

type ticket struct {
	replica, incarnation, step, unit string
}

// NewWatch is a watch that has been told nothing.
func NewWatch() *Watch {
	return &Watch{
		runs: map[string][]*modelserver.Run{}, byAttempt: map[string]*modelserver.Run{}, told: map[string]Told{}, asks: map[string]Told{}, Stakes: map[string]int{}, keys: map[string]map[string]bool{},
		keyOf: map[string]string{}, order: map[uint64]ticket{}, taken: map[uint64]int{}, last: map[string]uint64{},
	}
}

// Break notes a breach; the detail is formatted as fmt.Sprintf does.
func (w *Watch) Break(rule, format string, args ...any) {
	w.Breaches = append(w.Breaches, Breach{rule, fmt.Sprintf(format, args...)})
}

// Notice begins a replica's notice.
func (w *Watch) Notice(s Span) { w.notices = append(w.notices, s) }

// Emptied begins the time in which a zone is to be empty.
func (w *Watch) Emptied(s Span) { w.emptied = append(w.emptied, s) }

// Old begins the time in which something is the old way.
func (w *Watch) Old(c Change) { w.old = append(w.old, c) }

// Stake counts an occasion on which a rule could have been broken.
func (w *Watch) Stake(rule string) { w.Stakes[rule]++ }

// Over ends the newest open span of this name.
func Over(spans []Span, id string, atUs int64) {
	for i := len(spans) - 1; i >= 0; i-- {
		if spans[i].ID == id && spans[i].ToUs == Open {
			spans[i].ToUs = atUs
			return
		}
	}
}

// NoticeOver ends a replica's notice.
func (w *Watch) NoticeOver(id string, atUs int64) { Over(w.notices, id, atUs) }

// EmptiedOver ends the time in which a zone is to be empty.
func (w *Watch) EmptiedOver(id string, atUs int64) { Over(w.emptied, id, atUs) }

// OldOver ends all that stands of a change.
func (w *Watch) OldOver(id string, atUs int64) {
	for i := range w.old {
		if c := &w.old[i]; c.ID == id && c.ToUs == Open {
			c.ToUs = atUs
		}
	}
}

// Asked tells of an attempt before anything is known of it.
func (w *Watch) Asked(t Told) {
	if _, resumed := w.asks[t.Tag]; !resumed {
		w.asks[t.Tag] = t
	}
	if t.Key != "" && !t.Resumable {
		w.keyOf[t.Tag] = t.Key
		if w.keys[t.Key] != nil {
			w.Stake(RunsTwice)
		}
	}
	for _, c := range w.old {
		if c.Concerns != nil && t.StartUs > c.FromUs+ChangeUs && t.StartUs < c.ToUs && c.Concerns(t) {
			w.Stake(OldWay)
		}
	}
	for _, e := range w.emptied {
		if t.StartUs > e.FromUs+EmptyUs && t.StartUs < e.ToUs {
			w.Stake(IntoEmptied)
		}
	}
	for _, n := range w.notices {
		if t.StartUs > n.FromUs+NoticeUs && t.StartUs < n.ToUs {
			w.Stake(AfterNotice)
		}
	}
}

// Run is told of a run as a replica began it.
func (w *Watch) Run(r modelserver.Run) {
	run := r
	w.byAttempt[r.Attempt] = &run
	w.runs[r.Tag] = append(w.runs[r.Tag], &run)
	if t, known := w.told[r.Tag]; known {
		w.counted(t)
	}
	if key := w.keyOf[r.Tag]; key != "" {
		if w.keys[key] == nil {
			w.keys[key] = map[string]bool{}
		}
		w.keys[key][r.Attempt] = true
		if len(w.keys[key]) > 1 {
			w.Break(RunsTwice, "key %s ran as %v", key, names(w.keys[key]))
		}
	}
	for _, n := range w.notices {
		if r.Replica == n.ID && r.StartUs > n.FromUs+NoticeUs && r.StartUs < n.ToUs {
			w.Break(AfterNotice, "%s reached %s %d ms after", r.Tag, n.ID, (r.StartUs-n.FromUs)/1000)
		}
	}
	for _, e := range w.emptied {
		if r.Zone == e.ID && r.StartUs > e.FromUs+EmptyUs && r.StartUs < e.ToUs {
			w.Break(IntoEmptied, "%s reached zone %s %d ms after", r.Tag, e.ID, (r.StartUs-e.FromUs)/1000)
		}
	}
	for _, c := range w.old {
		if c.Runs != nil && r.StartUs > c.FromUs+ChangeUs && r.StartUs < c.ToUs && c.Runs(r, w.asks[r.Tag], len(w.runs[r.Tag])) {
			w.Break(OldWay, "%s ran as %s %d ms after the change of %s", r.Tag, r.Attempt, (r.StartUs-c.FromUs)/1000, c.ID)
		}
	}
}

// Ended tells that a replica gave a whole answer.
func (w *Watch) Ended(attempt string) {
	if r := w.byAttempt[attempt]; r != nil {
		r.Ended = true
	}
}

// Cut tells that a replica's answer stopped before its end.
func (w *Watch) Cut(r modelserver.Run) {
	w.Stake(ForeignEnd)
	w.Stake(RunsTwice)
	if r.Sent > 0 {
		w.Stake(StreamBroken)
	}
}

// Taken tells when a gateway read a call; what lay unread before, nobody could measure.
func (w *Watch) Taken(tag string, atUs int64) {
	if t, asked := w.asks[tag]; asked && t.TakenUs == 0 {
		t.TakenUs = atUs
		w.asks[tag] = t
	}
}

// Told is told what one attempt of a caller saw.
func (w *Watch) Told(t Told) {
	w.told[t.Tag] = t
	w.counted(t)
	w.stream(t)
	for _, c := range w.old {
		if c.Told != nil && t.StartUs > c.FromUs+ChangeUs && t.EndUs < c.ToUs && c.Told(t) {
			w.Break(OldWay, "%s was told %s %d ms after the change of %s", t.Tag, t.Code, (t.EndUs-c.FromUs)/1000, c.ID)
		}
	}
	if t.Run == "none" {
		w.Stake(NotRunLie)
	}
	if t.Had > 0 && len(t.Pieces) > 0 {
		w.Stake(StreamBroken)
	}
}

func (w *Watch) counted(t Told) {
	runs := w.runs[t.Tag]
	if !t.Resumable && len(runs) > 1 {
		w.Break(RunsTwice, "%s ran as %s and %s", t.Tag, runs[0].Attempt, runs[1].Attempt)
	}
	for _, r := range runs {
		if t.Run == "none" && r.StartUs >= t.StartUs {
			w.Break(NotRunLie, "%s was told %s/none and ran as %s", t.Tag, t.Code, r.Attempt)
		}
	}
}

func (w *Watch) stream(t Told) {
	nonces := map[string]bool{}
	for i, p := range t.Pieces {
		n := t.Had + i + 1
		if i < len(t.IDs) && t.IDs[i] != n {
			w.Break(StreamBroken, "%s: piece %d has id %d", t.Tag, n, t.IDs[i])
		}
		text, nonce, _ := strings.Cut(p, "~")
		if at := placeOf(t, text); at == 0 {
			w.Break(ForeignEnd, "%s: piece %d is not of this request", t.Tag, n)
		} else if at != n {
			w.Break(StreamBroken, "%s: piece %d stands where %d belongs", t.Tag, at, n)
		}
		nonces[nonce] = true
	}
	if !t.Resumable && len(nonces) > 1 {
		w.Break(StreamBroken, "%s joins %d runs", t.Tag, len(nonces))
	}
	if !t.Ended {
		return
	}
	total := modelserver.Total(t.Prompt, t.MostOut)
	if t.Had+len(t.Pieces) != total || t.EndCount != total {
		w.Break(StreamBroken, "%s looked complete with %d of %d pieces (end said %d)", t.Tag, t.Had+len(t.Pieces), total, t.EndCount)
	}
	for _, r := range w.runs[t.Tag] {
		if r.Ended {
			return
		}
	}
	w.Break(ForeignEnd, "%s was told success, no replica ended it", t.Tag)
}

func placeOf(t Told, text string) int {
	for n := 1; n <= modelserver.Total(t.Prompt, t.MostOut); n++ {
		if want, _, _ := strings.Cut(modelserver.Text(t.Prompt, t.Model, t.Adapter, n, ""), "~"); want == text {
			return n
		}
	}
	return 0
}

// Order is told of an order as a replica saw it.
func (w *Watch) Order(o modelserver.OrderSeen) {
	this := ticket{o.Replica, o.Incarnation, string(o.Step), o.Unit}
	if before, seen := w.order[o.Number]; seen && before != this {
		w.Break(TicketClash, "ticket %d orders both %v and %v", o.Number, before, this)
	}
	w.order[o.Number] = this
	if o.Over {
		w.Break(OverRoom, "ticket %d: %s at %s", o.Number, o.Unit, o.Replica)
	}
	if !o.Taken {
		w.Stake(TicketClash)
		return
	}
	w.taken[o.Number]++
	if w.taken[o.Number] > 1 {
		w.Break(TicketClash, "ticket %d was done twice at %s", o.Number, o.Replica)
	}
	at := o.Replica + "/" + o.Incarnation
	if o.Number < w.last[at] {
		w.Break(TicketClash, "ticket %d won over %d at %s", o.Number, w.last[at], o.Replica)
	}
	w.last[at] = o.Number
}

// Check replays everything that was gathered through a Watch, and counts what was at stake.
func Check(s Seen) ([]Breach, map[string]int) {
	w := NewWatch()
	w.notices, w.emptied, w.old = s.Notices, s.Emptied, s.Changes
	for _, t := range s.Told {
		w.Asked(t)
	}
	for _, r := range s.Runs {
		w.Run(r)
	}
	for _, t := range s.Told {
		w.Told(t)
	}
	for _, o := range s.Orders {
		w.Order(o)
	}
	for _, b := range s.StoreBroke {
		w.Break(OverStore, "%s", b)
	}
	sort.SliceStable(w.Breaches, func(i, j int) bool { return w.Breaches[i].Rule < w.Breaches[j].Rule })
	return w.Breaches, w.Stakes
}

func names(set map[string]bool) []string {
	return slices.Sorted(maps.Keys(set))
}
