package rules

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"petreltide/proofs/press"
)

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
	PoorService  = "service was still poor 12 s after the machines came back"
)

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
	Desk      string
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
	FirstUs   int64
	EndUs     int64
}

type Span struct {
	ID     string
	FromUs int64
	ToUs   int64
}

type Seen struct {
	Runs       []press.Run
	Orders     []press.OrderSeen
	Told       []Told
	Notices    []Span
	Emptied    []Span
	OldModels  []Span
	StoreBroke []string
}

type Breach struct {
	Rule   string
	Detail string
}

func (b Breach) String() string { return b.Rule + ": " + b.Detail }

// Watch is told what callers, replicas, the store and operators see, one thing at a time, and
// never what the reducers say of themselves.
type Watch struct {
	runs     map[string][]*press.Run
	byLeg    map[string]*press.Run
	told     map[string]Told
	keys     map[string]map[string]bool
	keyOf    map[string]string
	order    map[uint64]ticket
	taken    map[uint64]int
	last     map[string]uint64
	notices  []Span
	emptied  []Span
	old      []Span
	Breaches []Breach
}

type ticket struct {
	replica, inc, step, unit string
}

func NewWatch() *Watch {
	return &Watch{
		runs: map[string][]*press.Run{}, byLeg: map[string]*press.Run{}, told: map[string]Told{}, keys: map[string]map[string]bool{},
		keyOf: map[string]string{}, order: map[uint64]ticket{}, taken: map[uint64]int{}, last: map[string]uint64{},
	}
}

func (w *Watch) Break(rule, format string, args ...any) {
	w.Breaches = append(w.Breaches, Breach{rule, fmt.Sprintf(format, args...)})
}

func (w *Watch) Notice(s Span)  { w.notices = append(w.notices, s) }
func (w *Watch) Emptied(s Span) { w.emptied = append(w.emptied, s) }
func (w *Watch) Old(s Span)     { w.old = append(w.old, s) }

// Over ends the newest open span of this name.
func Over(spans []Span, id string, atUs int64) {
	for i := len(spans) - 1; i >= 0; i-- {
		if spans[i].ID == id && spans[i].ToUs == Open {
			spans[i].ToUs = atUs
			return
		}
	}
}

func (w *Watch) NoticeOver(id string, atUs int64)  { Over(w.notices, id, atUs) }
func (w *Watch) EmptiedOver(id string, atUs int64) { Over(w.emptied, id, atUs) }
func (w *Watch) OldOver(id string, atUs int64)     { Over(w.old, id, atUs) }

// Asked tells of a keyed attempt before anything is known of it.
func (w *Watch) Asked(tag, key string) {
	if key != "" {
		w.keyOf[tag] = key
	}
}

func (w *Watch) Run(r press.Run) {
	run := r
	w.byLeg[r.Leg] = &run
	w.runs[r.Tag] = append(w.runs[r.Tag], &run)
	if t, known := w.told[r.Tag]; known {
		w.counted(t)
	}
	if key := w.keyOf[r.Tag]; key != "" {
		if w.keys[key] == nil {
			w.keys[key] = map[string]bool{}
		}
		w.keys[key][r.Leg] = true
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
	for _, o := range w.old {
		if (r.Model == o.ID || r.Adapter == o.ID) && r.StartUs > o.FromUs+ChangeUs && r.StartUs < o.ToUs {
			w.Break(OldWay, "%s ran %s %d ms after it was taken out", r.Tag, o.ID, (r.StartUs-o.FromUs)/1000)
		}
	}
}

// Ended tells that a replica gave a whole answer.
func (w *Watch) Ended(leg string) {
	if r := w.byLeg[leg]; r != nil {
		r.Ended = true
	}
}

func (w *Watch) Told(t Told) {
	w.told[t.Tag] = t
	w.counted(t)
	w.stream(t)
}

func (w *Watch) counted(t Told) {
	runs := w.runs[t.Tag]
	if !t.Resumable && len(runs) > 1 {
		w.Break(RunsTwice, "%s ran as %s and %s", t.Tag, runs[0].Leg, runs[1].Leg)
	}
	if t.Run == "none" && len(runs) > 0 && t.Had == 0 {
		w.Break(NotRunLie, "%s was told %s/none and ran as %s", t.Tag, t.Code, runs[0].Leg)
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
	total := press.Total(t.Prompt, t.MostOut)
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
	for n := 1; n <= press.Total(t.Prompt, t.MostOut); n++ {
		if want, _, _ := strings.Cut(press.Text(t.Prompt, t.Model, t.Adapter, n, ""), "~"); want == text {
			return n
		}
	}
	return 0
}

func (w *Watch) Order(o press.OrderSeen) {
	this := ticket{o.Replica, o.Inc, string(o.Step), o.Unit}
	if before, seen := w.order[o.Number]; seen && before != this {
		w.Break(TicketClash, "ticket %d orders both %v and %v", o.Number, before, this)
	}
	w.order[o.Number] = this
	if o.Over {
		w.Break(OverRoom, "ticket %d: %s at %s", o.Number, o.Unit, o.Replica)
	}
	if !o.Taken {
		return
	}
	w.taken[o.Number]++
	if w.taken[o.Number] > 1 {
		w.Break(TicketClash, "ticket %d was done twice at %s", o.Number, o.Replica)
	}
	at := o.Replica + "/" + o.Inc
	if o.Number < w.last[at] {
		w.Break(TicketClash, "ticket %d won over %d at %s", o.Number, w.last[at], o.Replica)
	}
	w.last[at] = o.Number
}

// Check replays everything that was gathered through a Watch.
func Check(s Seen) []Breach {
	w := NewWatch()
	w.notices, w.emptied, w.old = s.Notices, s.Emptied, s.OldModels
	for _, t := range s.Told {
		w.Asked(t.Tag, t.Key)
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
	return w.Breaches
}

func names(set map[string]bool) []string {
	return slices.Sorted(maps.Keys(set))
}
