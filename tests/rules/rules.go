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
	RunsTwice       = "a request that cannot be resumed ran twice"
	NotRunLie       = "a client was told not run, but it ran"
	StreamBroken    = "a stream lost, repeated or joined pieces, or looked complete too early"
	ForeignEnd      = "an answer of another request, or a success the replica never gave"
	AfterNotice     = "a request reached a replica more than 3 s after the notice"
	OldWay          = "a request was served the old way more than 2 s after the change was acknowledged"
	IntoEmptied     = "a request reached an emptied zone more than 5 s after it was acknowledged"
	CommandConflict = "two orders under one ticket, or an older ticket won"
	OverCapacity    = "a replica was ordered to hold more than its room"
	OverStore       = "loads outran the weight store"
	ConfigMissing   = "a refused configuration took effect, or an acknowledged one was lost"
	UnsyncedCopy    = "an acknowledgement counted a disk that did not hold it"
	PoorService     = "service was still poor 12 s after the machines came back"
)

// All are the lines of the brief that must never happen.
var All = []string{RunsTwice, NotRunLie, StreamBroken, ForeignEnd, AfterNotice, OldWay, IntoEmptied, CommandConflict, OverCapacity, OverStore, ConfigMissing, PoorService}

// How long after a notice, a change, an emptying and a return the rules begin to hold. Open is the end of what has none
// yet.
const (
	NoticeUs  = 3_000_000
	ChangeUs  = 2_000_000
	EmptyUs   = 5_000_000
	RecoverUs = 12_000_000
	Open      = int64(1) << 62
)

// ClientAttempt is what one attempt of a caller saw.
type ClientAttempt struct {
	Tag            string
	Key            string
	Kind           string
	Model          string
	Adapter        string
	Prompt         string
	MaxOutput      int
	Resumable      bool
	Gateway        string
	ReceivedChunks int
	Status         int
	Code           string
	Run            string
	RetryMs        int64
	Chunks         []string
	IDs            []int
	Complete       bool
	EndCount       int
	Broken         bool
	StartUs        int64
	AdmittedUs     int64
	FirstUs        int64
	EndUs          int64
}

// Interval is the time in which something stood.
type Interval struct {
	ID     string
	FromUs int64
	ToUs   int64
}

// Change is something operators changed, from its acknowledgement until it is changed again: which
// runs and which answers would be the old way.
type Change struct {
	Interval
	Runs     func(r modelserver.Run, ask ClientAttempt, nth int) bool
	Told     func(t ClientAttempt) bool
	Concerns func(t ClientAttempt) bool
}

// RemovedUnit is a model or an adapter that may not run any more.
func RemovedUnit(s Interval) Change {
	return Change{
		Interval: s,
		Runs:     func(r modelserver.Run, _ ClientAttempt, _ int) bool { return r.Model == s.ID || r.Adapter == s.ID },
		Concerns: func(t ClientAttempt) bool { return t.Model == s.ID || t.Adapter == s.ID },
	}
}

// Observations is all that a run left to be judged.
type Observations struct {
	Runs       []modelserver.Run
	Orders     []modelserver.OrderSeen
	Told       []ClientAttempt
	Notices    []Interval
	Emptied    []Interval
	Changes    []Change
	StoreBroke []string
}

// Breach is one rule broken, and how.
type Breach struct {
	Rule   string
	Detail string
}

func (b Breach) String() string { return b.Rule + ": " + b.Detail }

// Monitor is told what callers, replicas, the store and operators see, one thing at a time, and
// never what the reducers say of themselves.
type Monitor struct {
	runs             map[string][]*modelserver.Run
	byAttempt        map[string]*modelserver.Run
	observed         map[string]ClientAttempt
	requests         map[string]ClientAttempt
	keys             map[string]map[string]bool
	keyOf            map[string]string
	order            map[uint64]command
	acceptedCommands map[uint64]int
	last             map[string]uint64
	notices          []Interval
	emptied          []Interval
	replacedChanges  []Change
	Stakes           map[string]int
	Breaches         []Breach
}

type command struct {
	replica, incarnation, step, unit string
}

// NewMonitor is a watch that has been told nothing.
func NewMonitor() *Monitor {
	return &Monitor{
		runs: map[string][]*modelserver.Run{}, byAttempt: map[string]*modelserver.Run{}, observed: map[string]ClientAttempt{}, requests: map[string]ClientAttempt{}, Stakes: map[string]int{}, keys: map[string]map[string]bool{},
		keyOf: map[string]string{}, order: map[uint64]command{}, acceptedCommands: map[uint64]int{}, last: map[string]uint64{},
	}
}

// Break notes a breach; the detail is formatted as fmt.Sprintf does.
func (m *Monitor) Break(rule, format string, args ...any) {
	m.Breaches = append(m.Breaches, Breach{rule, fmt.Sprintf(format, args...)})
}

// Notice begins a replica's notice.
func (m *Monitor) Notice(s Interval) { m.notices = append(m.notices, s) }

// Emptied begins the time in which a zone is to be empty.
func (m *Monitor) Emptied(s Interval) { m.emptied = append(m.emptied, s) }

// Old begins the time in which something is the old way.
func (m *Monitor) Old(c Change) { m.replacedChanges = append(m.replacedChanges, c) }

// Stake counts an occasion on which a rule could have been broken.
func (m *Monitor) Stake(rule string) { m.Stakes[rule]++ }

// Over ends the newest open span of this name.
func Over(spans []Interval, id string, atUs int64) {
	for i := len(spans) - 1; i >= 0; i-- {
		if spans[i].ID == id && spans[i].ToUs == Open {
			spans[i].ToUs = atUs
			return
		}
	}
}

// NoticeOver ends a replica's notice.
func (m *Monitor) NoticeOver(id string, atUs int64) { Over(m.notices, id, atUs) }

// EmptiedOver ends the time in which a zone is to be empty.
func (m *Monitor) EmptiedOver(id string, atUs int64) { Over(m.emptied, id, atUs) }

// OldOver ends all that stands of a change.
func (m *Monitor) OldOver(id string, atUs int64) {
	for i := range m.replacedChanges {
		if c := &m.replacedChanges[i]; c.ID == id && c.ToUs == Open {
			c.ToUs = atUs
		}
	}
}

// Requested tells of an attempt before anything is known of it.
func (m *Monitor) Requested(t ClientAttempt) {
	if _, resumed := m.requests[t.Tag]; !resumed {
		m.requests[t.Tag] = t
	}
	if t.Key != "" && !t.Resumable {
		m.keyOf[t.Tag] = t.Key
		if m.keys[t.Key] != nil {
			m.Stake(RunsTwice)
		}
	}
	for _, c := range m.replacedChanges {
		if c.Concerns != nil && t.StartUs > c.FromUs+ChangeUs && t.StartUs < c.ToUs && c.Concerns(t) {
			m.Stake(OldWay)
		}
	}
	for _, e := range m.emptied {
		if t.StartUs > e.FromUs+EmptyUs && t.StartUs < e.ToUs {
			m.Stake(IntoEmptied)
		}
	}
	for _, n := range m.notices {
		if t.StartUs > n.FromUs+NoticeUs && t.StartUs < n.ToUs {
			m.Stake(AfterNotice)
		}
	}
}

// Run is told of a run as a replica began it.
func (m *Monitor) Run(r modelserver.Run) {
	run := r
	m.byAttempt[r.Attempt] = &run
	m.runs[r.Tag] = append(m.runs[r.Tag], &run)
	if t, known := m.observed[r.Tag]; known {
		m.counted(t)
	}
	if key := m.keyOf[r.Tag]; key != "" {
		if m.keys[key] == nil {
			m.keys[key] = map[string]bool{}
		}
		m.keys[key][r.Attempt] = true
		if len(m.keys[key]) > 1 {
			m.Break(RunsTwice, "key %s ran as %v", key, names(m.keys[key]))
		}
	}
	for _, n := range m.notices {
		if r.Replica == n.ID && r.StartUs > n.FromUs+NoticeUs && r.StartUs < n.ToUs {
			m.Break(AfterNotice, "%s reached %s %d ms after", r.Tag, n.ID, (r.StartUs-n.FromUs)/1000)
		}
	}
	for _, e := range m.emptied {
		if r.Zone == e.ID && r.StartUs > e.FromUs+EmptyUs && r.StartUs < e.ToUs {
			m.Break(IntoEmptied, "%s reached zone %s %d ms after", r.Tag, e.ID, (r.StartUs-e.FromUs)/1000)
		}
	}
	for _, c := range m.replacedChanges {
		if c.Runs != nil && r.StartUs > c.FromUs+ChangeUs && r.StartUs < c.ToUs && c.Runs(r, m.requests[r.Tag], len(m.runs[r.Tag])) {
			m.Break(OldWay, "%s ran as %s %d ms after the change of %s", r.Tag, r.Attempt, (r.StartUs-c.FromUs)/1000, c.ID)
		}
	}
}

// Completed tells that a replica gave a whole answer.
func (m *Monitor) Completed(attempt string) {
	if r := m.byAttempt[attempt]; r != nil {
		r.Ended = true
	}
}

// Interrupted tells that a replica's answer stopped before its end.
func (m *Monitor) Interrupted(r modelserver.Run) {
	m.Stake(ForeignEnd)
	m.Stake(RunsTwice)
	if r.Sent > 0 {
		m.Stake(StreamBroken)
	}
}

// Admitted tells when a gateway read a call; what lay unread before, nobody could measure.
func (m *Monitor) Admitted(tag string, atUs int64) {
	if t, asked := m.requests[tag]; asked && t.AdmittedUs == 0 {
		t.AdmittedUs = atUs
		m.requests[tag] = t
	}
}

// Observed is told what one attempt of a caller saw.
func (m *Monitor) Observed(t ClientAttempt) {
	m.observed[t.Tag] = t
	m.counted(t)
	m.stream(t)
	for _, c := range m.replacedChanges {
		if c.Told != nil && t.StartUs > c.FromUs+ChangeUs && t.EndUs < c.ToUs && c.Told(t) {
			m.Break(OldWay, "%s was told %s %d ms after the change of %s", t.Tag, t.Code, (t.EndUs-c.FromUs)/1000, c.ID)
		}
	}
	if t.Run == "none" {
		m.Stake(NotRunLie)
	}
	if t.ReceivedChunks > 0 && len(t.Chunks) > 0 {
		m.Stake(StreamBroken)
	}
}

func (m *Monitor) counted(t ClientAttempt) {
	runs := m.runs[t.Tag]
	if !t.Resumable && len(runs) > 1 {
		m.Break(RunsTwice, "%s ran as %s and %s", t.Tag, runs[0].Attempt, runs[1].Attempt)
	}
	for _, r := range runs {
		if t.Run == "none" && r.StartUs >= t.StartUs {
			m.Break(NotRunLie, "%s was told %s/none and ran as %s", t.Tag, t.Code, r.Attempt)
		}
	}
}

func (m *Monitor) stream(t ClientAttempt) {
	nonces := map[string]bool{}
	for i, p := range t.Chunks {
		n := t.ReceivedChunks + i + 1
		if i < len(t.IDs) && t.IDs[i] != n {
			m.Break(StreamBroken, "%s: piece %d has id %d", t.Tag, n, t.IDs[i])
		}
		text, nonce, _ := strings.Cut(p, "~")
		if at := placeOf(t, text); at == 0 {
			m.Break(ForeignEnd, "%s: piece %d is not of this request", t.Tag, n)
		} else if at != n {
			m.Break(StreamBroken, "%s: piece %d stands where %d belongs", t.Tag, at, n)
		}
		nonces[nonce] = true
	}
	if !t.Resumable && len(nonces) > 1 {
		m.Break(StreamBroken, "%s joins %d runs", t.Tag, len(nonces))
	}
	if !t.Complete {
		return
	}
	total := modelserver.Total(t.Prompt, t.MaxOutput)
	if t.ReceivedChunks+len(t.Chunks) != total || t.EndCount != total {
		m.Break(StreamBroken, "%s looked complete with %d of %d pieces (end said %d)", t.Tag, t.ReceivedChunks+len(t.Chunks), total, t.EndCount)
	}
	for _, r := range m.runs[t.Tag] {
		if r.Ended {
			return
		}
	}
	m.Break(ForeignEnd, "%s was told success, no replica ended it", t.Tag)
}

func placeOf(t ClientAttempt, text string) int {
	for n := 1; n <= modelserver.Total(t.Prompt, t.MaxOutput); n++ {
		if want, _, _ := strings.Cut(modelserver.Text(t.Prompt, t.Model, t.Adapter, n, ""), "~"); want == text {
			return n
		}
	}
	return 0
}

// Order is told of an order as a replica saw it.
func (m *Monitor) Order(o modelserver.OrderSeen) {
	this := command{o.Replica, o.Incarnation, string(o.Step), o.Unit}
	if before, seen := m.order[o.Number]; seen && before != this {
		m.Break(CommandConflict, "ticket %d orders both %v and %v", o.Number, before, this)
	}
	m.order[o.Number] = this
	if o.Over {
		m.Break(OverCapacity, "ticket %d: %s at %s", o.Number, o.Unit, o.Replica)
	}
	if !o.Taken {
		m.Stake(CommandConflict)
		return
	}
	m.acceptedCommands[o.Number]++
	if m.acceptedCommands[o.Number] > 1 {
		m.Break(CommandConflict, "ticket %d was done twice at %s", o.Number, o.Replica)
	}
	at := o.Replica + "/" + o.Incarnation
	if o.Number < m.last[at] {
		m.Break(CommandConflict, "ticket %d won over %d at %s", o.Number, m.last[at], o.Replica)
	}
	m.last[at] = o.Number
}

// Check replays everything that was gathered through a Watch, and counts what was at stake.
func Check(s Observations) ([]Breach, map[string]int) {
	w := NewMonitor()
	w.notices, w.emptied, w.replacedChanges = s.Notices, s.Emptied, s.Changes
	for _, t := range s.Told {
		w.Requested(t)
	}
	for _, r := range s.Runs {
		w.Run(r)
	}
	for _, t := range s.Told {
		w.Observed(t)
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
