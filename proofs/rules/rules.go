package rules

import (
	"fmt"
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

// Check looks only at what callers, replicas, the store and operators saw.
func Check(s Seen) []Breach {
	var breaches []Breach
	add := func(rule, format string, args ...any) {
		breaches = append(breaches, Breach{rule, fmt.Sprintf(format, args...)})
	}
	byTag := map[string][]press.Run{}
	for _, r := range s.Runs {
		byTag[r.Tag] = append(byTag[r.Tag], r)
	}
	byKey := map[string]map[string]bool{}
	for _, t := range s.Told {
		runs := byTag[t.Tag]
		if !t.Resumable && len(runs) > 1 {
			add(RunsTwice, "%s ran as %s and %s", t.Tag, runs[0].Leg, runs[1].Leg)
		}
		if t.Key != "" && !t.Resumable {
			if byKey[t.Key] == nil {
				byKey[t.Key] = map[string]bool{}
			}
			for _, r := range runs {
				byKey[t.Key][r.Leg] = true
			}
		}
		if t.Run == "none" && len(runs) > 0 && t.Had == 0 {
			add(NotRunLie, "%s was told %s/none and ran as %s", t.Tag, t.Code, runs[0].Leg)
		}
		checkStream(add, t, runs)
	}
	for key, legs := range byKey {
		if len(legs) > 1 {
			add(RunsTwice, "key %s ran as %v", key, names(legs))
		}
	}
	for _, n := range s.Notices {
		for _, r := range s.Runs {
			if r.Replica == n.ID && r.StartUs > n.FromUs+NoticeUs && r.StartUs < n.ToUs {
				add(AfterNotice, "%s reached %s %d ms after", r.Tag, n.ID, (r.StartUs-n.FromUs)/1000)
			}
		}
	}
	for _, e := range s.Emptied {
		for _, r := range s.Runs {
			if r.Zone == e.ID && r.StartUs > e.FromUs+EmptyUs && r.StartUs < e.ToUs {
				add(IntoEmptied, "%s reached zone %s %d ms after", r.Tag, e.ID, (r.StartUs-e.FromUs)/1000)
			}
		}
	}
	for _, o := range s.OldModels {
		for _, r := range s.Runs {
			if (r.Model == o.ID || r.Adapter == o.ID) && r.StartUs > o.FromUs+ChangeUs && r.StartUs < o.ToUs {
				add(OldWay, "%s ran %s %d ms after it was taken out", r.Tag, o.ID, (r.StartUs-o.FromUs)/1000)
			}
		}
	}
	checkOrders(add, s.Orders)
	for _, b := range s.StoreBroke {
		add(OverStore, "%s", b)
	}
	sort.SliceStable(breaches, func(i, j int) bool { return breaches[i].Rule < breaches[j].Rule })
	return breaches
}

func names(set map[string]bool) []string {
	list := []string{}
	for n := range set {
		list = append(list, n)
	}
	sort.Strings(list)
	return list
}

func checkStream(add func(string, string, ...any), t Told, runs []press.Run) {
	nonces := map[string]bool{}
	for i, p := range t.Pieces {
		n := t.Had + i + 1
		if i < len(t.IDs) && t.IDs[i] != n {
			add(StreamBroken, "%s: piece %d has id %d", t.Tag, n, t.IDs[i])
		}
		text, nonce, _ := strings.Cut(p, "~")
		want, _, _ := strings.Cut(press.Text(t.Prompt, t.Model, t.Adapter, n, ""), "~")
		if text != want {
			add(ForeignEnd, "%s: piece %d is not of this request", t.Tag, n)
		}
		nonces[nonce] = true
	}
	if !t.Resumable && len(nonces) > 1 {
		add(StreamBroken, "%s joins %d runs", t.Tag, len(nonces))
	}
	if !t.Ended {
		return
	}
	total := press.Total(t.Prompt, t.MostOut)
	if t.Had+len(t.Pieces) != total || t.EndCount != total {
		add(StreamBroken, "%s looked complete with %d of %d pieces (end said %d)", t.Tag, t.Had+len(t.Pieces), total, t.EndCount)
	}
	for _, r := range runs {
		if r.Ended {
			return
		}
	}
	add(ForeignEnd, "%s was told success, no replica ended it", t.Tag)
}

func checkOrders(add func(string, string, ...any), orders []press.OrderSeen) {
	type ticket struct {
		replica, inc, step, unit string
	}
	byNumber := map[uint64]ticket{}
	taken := map[uint64]int{}
	last := map[string]uint64{}
	for _, o := range orders {
		this := ticket{o.Replica, o.Inc, string(o.Step), o.Unit}
		if before, seen := byNumber[o.Number]; seen && before != this {
			add(TicketClash, "ticket %d orders both %v and %v", o.Number, before, this)
		}
		byNumber[o.Number] = this
		if o.Over {
			add(OverRoom, "ticket %d: %s at %s", o.Number, o.Unit, o.Replica)
		}
		if !o.Taken {
			continue
		}
		taken[o.Number]++
		if taken[o.Number] > 1 {
			add(TicketClash, "ticket %d was done twice at %s", o.Number, o.Replica)
		}
		at := o.Replica + "/" + o.Inc
		if o.Number < last[at] {
			add(TicketClash, "ticket %d won over %d at %s", o.Number, last[at], o.Replica)
		}
		last[at] = o.Number
	}
}
