package dispatch

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sort"
	"sync/atomic"

	"petreltide/internal/clock"
	"petreltide/internal/fault"
	"petreltide/internal/outlier"
	"petreltide/internal/wire"
)

const (
	legsMost     = 8
	prefixMost   = 4096
	shyUs        = 400 * clock.Ms
	rateSlots    = 6
	decisionMost = 512
	arrivalUs    = 1 * clock.Sec
	noLeaseMs    = 500
	drainingMs   = 50
)

// Call is what a caller asked for. Its urgency, its expiry and whether it may be resumed are its
// kind's, as the newest news has it, until a leg starts.
type Call struct {
	ID       string
	Kind     string
	Model    string
	Adapter  string
	Prefix   []string
	Once     bool
	MostMs   int64
	TakenUs  int64
	Had      int
	Progress atomic.Int64
	FirstUs  atomic.Int64
	Routed   *Routed
	// Outcome is the class of the last leg's, an outlier.Class, where whoever ran it can tell.
	Outcome atomic.Int32

	takenAt  uint64
	urgency  int
	expiryUs int64
	resume   bool
	ran      bool
	legs     int
	prints   []uint64
	on       string
	leg      string
	tried    []string
	moving   bool
	gone     bool
	firstUs  int64
}

func (c *Call) fingerprints() []uint64 {
	if c.prints == nil {
		h := fnv.New64a()
		_, _ = h.Write([]byte(c.Model + "\x00" + c.Adapter))
		c.prints = []uint64{}
		if c.Routed != nil {
			for _, part := range c.Routed.Parts {
				var raw [8]byte
				binary.LittleEndian.PutUint64(raw[:], part.ID)
				_, _ = h.Write(raw[:])
				c.prints = append(c.prints, h.Sum64())
			}
			return c.prints
		}
		for _, part := range c.Prefix {
			_, _ = h.Write([]byte("\x00" + part))
			c.prints = append(c.prints, h.Sum64())
		}
	}
	return c.prints
}

type Ending string

const (
	Done    Ending = "done"
	Refused Ending = "refused"
	Missing Ending = "missing"
	// Elsewhere: the address answers for another life or another replica.
	Elsewhere Ending = "elsewhere"
	Failed    Ending = "failed"
	Unsent    Ending = "unsent"
	Broken    Ending = "broken"
	Unknown   Ending = "unknown"
	Moved     Ending = "moved"
	Final     Ending = "final"
)

type Event struct {
	NowUs    int64
	Arrived  *Call
	Ended    *Ended
	Gone     string
	Snapshot *Snapshot
	LeaseUs  int64
	Drain    bool
	// Close ends a drain: what still waits is refused, as nobody will be here to answer it.
	Close bool
}

type Ended struct {
	Call   string
	Leg    string
	Ending Ending
}

type Effect struct {
	Start  *Start
	Give   *Give
	Over   *Over
	Cancel string
	// Unplaced: a call has begun to wait for what no replica holds.
	Unplaced bool
}

// Over says that a leg was the last one; only a call that may be resumed gets another.
type Over struct {
	Call   *Call
	Ending Ending
}

type Start struct {
	Call     *Call
	Leg      string
	Ticket   uint64
	Replica  string
	Addr     string
	Inc      string
	Revision uint64
	ExpiryUs int64
	// GuessMs is when the first piece was expected, Running what was known to run there.
	GuessMs float64
	Running int
}

type Give struct {
	Call  *Call
	Fault *fault.Fault
}

type place struct {
	inFlight map[string]bool
	shyUs    int64
	prefixes map[uint64]int64
}

type run struct {
	ticket uint64
	next   uint64
	to     uint64
}

type kindRow struct {
	waiting []*Call
	pass    float64
	arrived uint64
	given   map[fault.Code]uint64
	done    uint64
}

type Options struct {
	Desk       string
	Inc        string
	Zone       string
	BacklogMax int
	Budget     BudgetOptions
	Patience   PatienceOptions
	Outlier    outlier.Options
}

// Decider is asked; the executor obeys. It owns the backlog, the slots and the leg numbers.
type Decider struct {
	opts      Options
	nowUs     int64
	snap      *Snapshot
	leaseUs   int64
	drain     bool
	closed    bool
	calls     map[string]*Call
	kinds     map[string]*kindRow
	places    map[string]*place
	runs      map[string]*run
	waiting   int
	passNow   float64
	slots     [rateSlots]map[string]int
	tokens    [rateSlots]map[string]int64
	paths     [rateSlots]map[string]int
	slotAtUs  int64
	slotNow   int
	slotsSeen int
	serviceUs float64
	gauges    []*Gauge
	Decisions []Decision
	sites     map[string]*site
	budgets   map[string]*budget
	readings  map[string]*reading
	prospects *prospects
	outliers  *outlier.Local
	legSeq    uint64
	effects   []Effect
}

func New(opts Options) *Decider {
	d := &Decider{opts: opts, calls: map[string]*Call{}, kinds: map[string]*kindRow{}, places: map[string]*place{}, runs: map[string]*run{},
		sites: map[string]*site{}, budgets: map[string]*budget{}, readings: map[string]*reading{}, prospects: newProspects(), outliers: outlier.NewLocal(opts.Outlier)}
	for i := range d.slots {
		d.slots[i] = map[string]int{}
		d.tokens[i] = map[string]int64{}
		d.paths[i] = map[string]int{}
	}
	return d
}

func (d *Decider) Step(ev Event) []Effect {
	d.effects = nil
	d.nowUs = ev.NowUs
	d.turnSlots()
	switch {
	case ev.Arrived != nil:
		d.arrived(ev.Arrived)
	case ev.Ended != nil:
		d.ended(*ev.Ended)
	case ev.Gone != "":
		d.left(ev.Gone)
	case ev.Snapshot != nil:
		d.taken(ev.Snapshot)
	case ev.LeaseUs != 0:
		d.leaseUs = max(d.leaseUs, ev.LeaseUs)
	case ev.Drain:
		d.drain = true
	case ev.Close:
		d.drain, d.closed = true, true
	}
	d.expire()
	d.dispatch()
	d.weighProspects()
	d.moveOff()
	if d.closed {
		for _, c := range d.waitingCalls() {
			d.give(c, fault.Draining, "this desk is going down", drainingMs)
		}
	}
	if c := ev.Arrived; c != nil && c.Routed != nil && c.leg == "" && d.calls[c.ID] != nil {
		if d.drain {
			d.give(c, fault.Draining, "this desk is going down", drainingMs)
		} else {
			d.do(Effect{Unplaced: true})
		}
	}
	return d.effects
}

func (d *Decider) do(e Effect) { d.effects = append(d.effects, e) }

func (d *Decider) kind(name string) *kindRow {
	k := d.kinds[name]
	if k == nil {
		k = &kindRow{given: map[fault.Code]uint64{}, pass: d.passNow}
		d.kinds[name] = k
	}
	return k
}

func (d *Decider) arrived(c *Call) {
	k := d.kind(c.Kind)
	k.arrived++
	if c.Model != "" {
		d.slots[d.slotNow][c.Model]++
		if c.Routed != nil {
			d.tokens[d.slotNow][c.Model] += c.Routed.PromptIn
			d.paths[d.slotNow][c.Kind+"|"+c.Model]++
		}
	}
	if c.Adapter != "" {
		d.slots[d.slotNow][c.adapterUnit()]++
	}
	d.calls[c.ID] = c
	d.gaugeTaken(c)
	if c.TakenUs == 0 {
		c.TakenUs = d.nowUs
	}
	if !d.termed(c) {
		return
	}
	if c.Routed != nil {
		d.arrivedRouted(c)
		return
	}
	if d.drain {
		d.give(c, fault.Draining, "this desk is going down", 200)
		return
	}
	if d.waiting >= d.opts.BacklogMax && !d.makeRoom(c) {
		d.give(c, fault.Overloaded, "the backlog is full", d.RetryMs())
		return
	}
	if waitUs := d.waitUs(c); d.nowUs+waitUs > c.expiryUs {
		d.give(c, fault.Overloaded, fmt.Sprintf("about %d ms of waiting lie before its expiry", waitUs/1000), d.RetryMs())
		return
	}
	d.enqueue(c)
}

// waitUs is how long a call of this kind may wait: the calls of its kind before it, at the pace
// its kind's weight gets of all slots while others wait too.
func (d *Decider) waitUs(c *Call) int64 {
	ahead := len(d.kind(c.Kind).waiting)
	if ahead == 0 || d.serviceUs == 0 || d.snap == nil {
		return 0
	}
	slots := 0
	for _, r := range d.snap.Replicas {
		slots += r.Share
	}
	whole := 0
	for _, k := range d.kinds {
		if len(k.waiting) > 0 {
			whole += weight(k.waiting[0])
		}
	}
	return int64(float64(ahead) * d.serviceUs / float64(max(slots, 1)) * float64(whole) / float64(weight(c)))
}

func weight(c *Call) int { return max(1, c.urgency*c.urgency) }

// makeRoom gives up the latest-expiring call of the kind that most exceeds its share, if the
// newcomer's kind is below its own.
func (d *Decider) makeRoom(c *Call) bool {
	share := d.opts.BacklogMax / max(1, d.waitingKinds(c.Kind))
	if len(d.kind(c.Kind).waiting) >= share {
		return false
	}
	var most *kindRow
	for _, name := range d.kindNames() {
		if k := d.kinds[name]; name != c.Kind && len(k.waiting) > share && (most == nil || len(k.waiting) > len(most.waiting)) {
			most = k
		}
	}
	if most == nil {
		return false
	}
	last := most.waiting[len(most.waiting)-1]
	d.give(last, fault.Overloaded, "gave way to a kind below its share of the backlog", d.RetryMs())
	return true
}

func (d *Decider) waitingKinds(with string) int {
	n := 1
	for name, k := range d.kinds {
		if name != with && len(k.waiting) > 0 {
			n++
		}
	}
	return n
}

func (d *Decider) kindNames() []string {
	return slices.Sorted(maps.Keys(d.kinds))
}

func (d *Decider) enqueue(c *Call) {
	k := d.kind(c.Kind)
	if len(k.waiting) == 0 {
		k.pass = max(k.pass, d.passNow)
	}
	at := sort.Search(len(k.waiting), func(i int) bool {
		w := k.waiting[i]
		if (w.Had > 0) != (c.Had > 0) {
			return c.Had > 0
		}
		return w.expiryUs > c.expiryUs
	})
	k.waiting = append(k.waiting, nil)
	copy(k.waiting[at+1:], k.waiting[at:])
	k.waiting[at] = c
	d.waiting++
}

func (d *Decider) dequeue(c *Call) bool {
	k := d.kind(c.Kind)
	for i, w := range k.waiting {
		if w == c {
			k.waiting = append(k.waiting[:i], k.waiting[i+1:]...)
			d.waiting--
			return true
		}
	}
	return false
}

func (d *Decider) RetryMs() int64 {
	share := 0
	if d.snap != nil {
		for _, r := range d.snap.Replicas {
			share += r.Share
		}
	}
	perCallMs := d.serviceUs / 1000
	if perCallMs == 0 {
		perCallMs = 500
	}
	return int64(min(max(float64(d.waiting)*perCallMs/float64(max(share, 1)), 250), 15_000))
}

// give is a final answer told at once: the call has no leg and can get none any more.
func (d *Decider) give(c *Call, code fault.Code, why string, retryMs int64) {
	d.giveAt(c, code, why, apart(c.ID, retryMs))
}

func (d *Decider) giveAt(c *Call, code fault.Code, why string, retryMs int64) {
	d.dequeue(c)
	delete(d.calls, c.ID)
	f := fault.New(code, "", "%s", why)
	f.Run, f.RetryMs = fault.RunNone, retryMs
	switch {
	case c.Had > 0 || c.Progress.Load() > 0:
		f.Run = fault.RunPartial
	case c.ran:
		f.Run = fault.RunUnknown
	}
	d.kind(c.Kind).given[code]++
	d.gaugeOver(c, "", code)
	d.note(c, "given up", "", string(code)+": "+why)
	d.do(Effect{Give: &Give{Call: c, Fault: f}})
}

// apart spreads the times at which callers that were refused together come back: half to one and a half
// of what was meant, or the crowd would stand before the door again as one.
func apart(id string, retryMs int64) int64 {
	if retryMs <= 1 {
		return retryMs
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return retryMs/2 + int64(h.Sum64()%uint64(retryMs)) + 1
}

func (d *Decider) left(id string) {
	c := d.calls[id]
	if c == nil {
		return
	}
	c.gone = true
	if c.leg == "" {
		d.dequeue(c)
		delete(d.calls, id)
		d.gaugeOver(c, "", "")
		return
	}
	d.do(Effect{Cancel: c.ID})
}

func (d *Decider) expire() {
	for _, name := range d.kindNames() {
		k := d.kinds[name]
		for i := 0; i < len(k.waiting); {
			c := k.waiting[i]
			if c.expiryUs <= d.nowUs {
				d.give(c, fault.Expired, "no replica could take it before its expiry", d.RetryMs())
				continue
			}
			i++
		}
	}
}

func (d *Decider) placeOf(id string) *place {
	p := d.places[id]
	if p == nil {
		p = &place{inFlight: map[string]bool{}, prefixes: map[uint64]int64{}}
		d.places[id] = p
	}
	return p
}

// dispatch shares the free slots between kinds by stride: urgency squared is the weight, and a kind
// that waits always comes round, however rare it is.
func (d *Decider) dispatch() {
	if d.waiting == 0 || d.snap == nil || d.snap.Doc == nil || (!d.routed() && d.nowUs >= d.leaseUs) {
		return
	}
	hopeless := map[string]bool{}
	for {
		names := d.kindNames()
		sort.SliceStable(names, func(i, j int) bool { return d.kinds[names[i]].pass < d.kinds[names[j]].pass })
		started := false
		for _, name := range names {
			k := d.kinds[name]
			if c, replica, why := d.placeable(k, hopeless); c != nil {
				if c.Routed == nil {
					d.start(c, replica, why)
				}
				d.passNow = max(d.passNow, k.pass)
				k.pass += 1 / float64(weight(c))
				started = true
				break
			}
		}
		if !started {
			return
		}
	}
}

func (d *Decider) placeable(k *kindRow, hopeless map[string]bool) (*Call, *wire.ReplicaNews, string) {
	for _, c := range k.waiting {
		unit := c.Model + "|" + c.Adapter
		if c.Routed != nil {
			unit = c.Routed.Service + "|" + unit
		}
		if hopeless[unit] {
			continue
		}
		if c.Routed != nil {
			if r, ms := d.selectRouted(c); r != nil {
				d.launch(c, r, ms)
				return c, r, ""
			}
			hopeless[unit] = len(c.tried) == 0
			continue
		}
		if r, why := d.selectFor(c); r != nil {
			return c, r, why
		}
		hopeless[unit] = true
	}
	return nil, nil, ""
}

// selectFor weighs a shared prefix against demand on the replica.
func (d *Decider) selectFor(c *Call) (*wire.ReplicaNews, string) {
	var best *wire.ReplicaNews
	bestScore, why := 0.0, ""
	for _, id := range d.snap.IDs {
		r := d.snap.Replicas[id]
		if !d.snap.Takes(id, r.Inc, c.Model, c.Adapter) {
			continue
		}
		p := d.placeOf(id)
		grant := d.runs[id+"|"+c.Model]
		if r.Share <= len(p.inFlight) || grant == nil || grant.next >= grant.to || d.nowUs < p.shyUs {
			continue
		}
		matched := 0
		for i, print := range c.fingerprints() {
			if _, ok := p.prefixes[print]; ok {
				matched = i + 1
			}
		}
		busy := float64(len(p.inFlight)) / float64(r.Share)
		score := 1 - busy
		if len(c.Prefix) > 0 {
			score += 0.75 * float64(matched) / float64(len(c.Prefix))
		}
		if best == nil || score > bestScore {
			best, bestScore = r, score
			why = fmt.Sprintf("score %.2f: %d of %d prefix parts seen there, %d of %d slots busy", score, matched, len(c.Prefix), len(p.inFlight), r.Share)
		}
	}
	return best, why
}

func (d *Decider) start(c *Call, r *wire.ReplicaNews, why string) {
	d.dequeue(c)
	grant := d.runs[r.ID+"|"+c.Model]
	c.leg = fmt.Sprintf("%s/%s/%d", r.ID, r.Inc, grant.next)
	grant.next++
	c.on, c.moving = r.ID, false
	c.legs++
	c.firstUs = d.nowUs
	p := d.placeOf(r.ID)
	p.inFlight[c.leg] = true
	if len(p.prefixes) > prefixMost {
		d.forget(p)
	}
	for _, print := range c.fingerprints() {
		p.prefixes[print] = d.nowUs
	}
	d.note(c, "leg", r.ID, why)
	d.do(Effect{Start: &Start{Call: c, Leg: c.leg, Ticket: grant.ticket, Replica: r.ID, Addr: r.Addr, Inc: r.Inc, Revision: d.snap.Revision, ExpiryUs: c.expiryUs}})
}

func (d *Decider) forget(p *place) {
	times := make([]int64, 0, len(p.prefixes))
	for _, atUs := range p.prefixes {
		times = append(times, atUs)
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	limitUs := times[len(times)/2]
	for print, atUs := range p.prefixes {
		if atUs <= limitUs {
			delete(p.prefixes, print)
		}
	}
}

func (d *Decider) ended(e Ended) {
	c := d.calls[e.Call]
	for _, p := range d.places {
		delete(p.inFlight, e.Leg)
	}
	if c == nil || c.leg != e.Leg {
		for _, st := range d.sites {
			delete(st.flights, e.Leg)
		}
		return
	}
	on := c.on
	c.leg, c.on = "", ""
	if c.Routed != nil {
		d.endedRouted(c, e, on)
		return
	}
	if e.Ending == Unsent || e.Ending == Refused {
		d.placeOf(on).shyUs = d.nowUs + shyUs
	}
	if e.Ending == Done {
		spentUs := float64(d.nowUs - c.firstUs)
		d.serviceUs += (spentUs - d.serviceUs) / 16
	}
	unrun := e.Ending == Unsent || e.Ending == Refused
	c.ran = c.ran || !unrun
	again := unrun || (c.resume && (e.Ending == Broken || e.Ending == Unknown || e.Ending == Moved))
	if c.gone || !again {
		d.over(c, e.Ending, on)
		return
	}
	c.Had = int(c.Progress.Load())
	if !d.termed(c) {
		return
	}
	if c.legs >= legsMost {
		d.give(c, fault.Overloaded, "its legs were refused or lost too often", d.RetryMs())
		return
	}
	d.note(c, "waits again", on, string(e.Ending))
	d.enqueue(c)
}

// over takes a leg's ending for that of its call.
func (d *Decider) over(c *Call, e Ending, on string) {
	delete(d.calls, c.ID)
	if e == Done {
		d.kind(c.Kind).done++
	} else {
		d.kind(c.Kind).given[fault.Code(e)]++
	}
	d.gaugeOver(c, e, "")
	d.note(c, "ended", on, string(e))
	d.do(Effect{Over: &Over{Call: c, Ending: e}})
}
