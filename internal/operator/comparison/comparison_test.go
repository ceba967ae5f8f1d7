package comparison

import (
	"context"
	"errors"
	"io"
	"math/rand"
	"strings"
	"testing"
	"time"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/controlnode"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/statistics"
)

// stage is a fleet whose calls take as long as the policy in force says.
type stage struct {
	r        *rand.Rand
	revision uint64
	doc      *configuration.Declaration
	gauges   []scheduling.RevisionCounters
	replicas map[string]string
	nowUs    int64
	slowUs   map[string]int64
	at       map[int64]func(*stage)
	doubt    int
	seen     map[string]uint64
	deaf     bool
	// unready are so many looks at a tail that has no lease, and then as many at one that knows no gateway.
	unready int
	starved string
}

func newStage(seed int64) *stage {
	return &stage{r: rand.New(rand.NewSource(seed)), revision: 3, doc: &configuration.Declaration{Policy: configuration.Policy{Name: "before", Source: "b"}},
		replicas: map[string]string{"r1": "i"}, slowUs: map[string]int64{}, at: map[int64]func(*stage){}, seen: map[string]uint64{}}
}

func (s *stage) Config(context.Context) (controlnode.CurrentConfig, error) {
	if s.deaf {
		return controlnode.CurrentConfig{}, fault.New(fault.NotServing, "", "deaf")
	}
	return controlnode.CurrentConfig{Revision: s.revision, Declaration: s.doc}, nil
}

func (s *stage) Apply(_ context.Context, base uint64, change string, doc *configuration.Declaration) (controlnode.ChangeAck, error) {
	if s.deaf {
		return controlnode.ChangeAck{}, fault.New(fault.NotServing, "", "deaf")
	}
	if revision, again := s.seen[change]; again {
		return controlnode.ChangeAck{Revision: revision, State: "everywhere"}, nil
	}
	if base != s.revision {
		f := fault.New(fault.StaleBase, "base", "")
		f.Revision = s.revision
		return controlnode.ChangeAck{}, f
	}
	s.change(doc)
	s.seen[change] = s.revision
	if s.doubt > 0 {
		s.doubt--
		return controlnode.ChangeAck{}, fault.New(fault.InDoubt, "", "")
	}
	return controlnode.ChangeAck{Revision: s.revision, State: "everywhere"}, nil
}

func (s *stage) change(doc *configuration.Declaration) {
	s.revision++
	s.doc = doc
	s.gauges = append(s.gauges, scheduling.RevisionCounters{Revision: s.revision, Kinds: map[string]*scheduling.KindCounters{"fixes": {FirstByte: statistics.Histogram{}}}})
}

func (s *stage) Look(context.Context) (Look, error) {
	if s.unready > 0 {
		s.unready--
		if s.unready%2 == 0 {
			return Look{Revision: s.revision, Leader: "one"}, nil
		}
		return Look{}, fault.New(fault.NotServing, "", "the tail has no lease now")
	}
	replicas := map[string]string{}
	for id, state := range s.replicas {
		replicas[id] = state
	}
	return Look{Revision: s.revision, Leader: "one", Replicas: replicas, Gateways: map[string]string{"d": "i"}, Gauges: s.gauges}, nil
}

func (s *stage) Pause(ctx context.Context, span time.Duration) error {
	for ms := int64(0); ms < span.Milliseconds(); ms += 10 {
		s.nowUs += 10_000
		if act := s.at[s.nowUs]; act != nil {
			act(s)
		}
		if len(s.gauges) > 0 {
			k := s.gauges[len(s.gauges)-1].Kinds["fixes"]
			k.Received++
			if s.starved == s.doc.Policy.Name && k.Received%5 == 0 {
				continue
			}
			k.Completed++
			k.FirstByte.Add(20_000 + s.slowUs[s.doc.Policy.Name] + s.r.Int63n(20_000))
		}
	}
	return ctx.Err()
}

func opts(windows int) Options {
	return Options{First: configuration.Policy{Name: "a", Source: "a"}, Second: configuration.Policy{Name: "b", Source: "b2"}, Windows: windows, Window: 4 * time.Second, Settle: time.Second, Seed: 5}
}

func (s *stage) restored(t *testing.T) {
	t.Helper()
	if s.doc.Policy.Name != "before" {
		t.Errorf("policy %s stands at the end", s.doc.Policy.Name)
	}
}

func seenIn(r Result) []string {
	found := []string{}
	for _, row := range r.Rows() {
		if row.Diff().Significant() {
			found = append(found, row.Kind+" "+row.What)
		}
	}
	return found
}

func TestTurnsAreSeededAndBalancedOverPairs(t *testing.T) {
	orders := map[string]bool{}
	for seed := int64(1); seed <= 20; seed++ {
		turns := Turns(12, seed)
		ab, text := 0, ""
		for i := 0; i < 12; i += 2 {
			if turns[i] == turns[i+1] {
				t.Fatalf("seed %d: pair %d is not a pair", seed, i/2)
			}
			ab += 1 - turns[i]
			text += string(rune('a' + turns[i]))
		}
		if ab != 3 {
			t.Fatalf("seed %d: %d of 6 pairs begin with the first policy", seed, ab)
		}
		orders[text] = true
	}
	if len(orders) < 5 {
		t.Fatalf("only %d orders in 20 seeds", len(orders))
	}
}

func TestEqualPoliciesShowNoneAndAWorseOneIsFound(t *testing.T) {
	s := newStage(1)
	result, err := Hold(context.Background(), s, opts(10), io.Discard)
	if err != nil || result.Stopped != nil || len(result.Pairs()) != 5 {
		t.Fatal(err, result.Stopped, len(result.Pairs()))
	}
	if found := seenIn(result); len(found) > 0 {
		t.Errorf("equal policies differ in %v", found)
	}
	s.restored(t)
	for _, w := range result.Windows {
		if n := w.Kinds["fixes"].Received; n != 400 {
			t.Errorf("window %d counts %d calls, 400 fell into it: the settling gap is not left out", w.Number, n)
		}
	}
	s = newStage(2)
	s.slowUs["b"] = 15_000
	if result, err = Hold(context.Background(), s, opts(10), io.Discard); err != nil {
		t.Fatal(err)
	}
	if found := seenIn(result); len(found) != 2 {
		t.Errorf("a policy 15 ms slower is seen in %v", found)
	}
}

// A policy that leaves calls waiting beyond the window must not look quick by those it did serve.
func TestCallsLeftWaitingAreHeldAgainstTheirPolicy(t *testing.T) {
	s := newStage(6)
	s.starved = "b"
	result, err := Hold(context.Background(), s, opts(10), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	found := strings.Join(seenIn(result), ", ")
	for _, want := range []string{"fixes apart", "fixes first piece p95"} {
		if !strings.Contains(found, want) {
			t.Errorf("%s is not among what was seen: %s", want, found)
		}
	}
}

func TestAForeignChangeAFaultAndAnInterruptEndItHonestly(t *testing.T) {
	amid := int64(7_000_000)
	for name, c := range map[string]struct {
		act   func(*stage, context.CancelFunc)
		goOn  bool
		code  fault.Code
		stays string
		pairs int
	}{
		"foreign change, other policy": {act: func(s *stage, _ context.CancelFunc) {
			doc := *s.doc
			doc.Policy = configuration.Policy{Name: "theirs"}
			s.change(&doc)
		}, code: fault.ForeignChange, stays: "theirs"},
		"foreign change, same policy": {act: func(s *stage, _ context.CancelFunc) {
			doc := *s.doc
			doc.Name = "theirs"
			s.change(&doc)
		}, code: fault.ForeignChange, stays: "before"},
		"replica lost":            {act: func(s *stage, _ context.CancelFunc) { delete(s.replicas, "r1") }, code: fault.WindowInvalidated, stays: "before"},
		"replica lost, and go on": {act: func(s *stage, _ context.CancelFunc) { delete(s.replicas, "r1") }, goOn: true, stays: "before", pairs: 3},
		"interrupt":               {act: func(_ *stage, stop context.CancelFunc) { stop() }, code: fault.Interrupted, stays: "before"},
		"an answer in doubt":      {act: func(s *stage, _ context.CancelFunc) { s.doubt = 3 }, stays: "before", pairs: 4},
	} {
		s := newStage(3)
		ctx, stop := context.WithCancel(context.Background())
		s.at[amid] = func(s *stage) { c.act(s, stop) }
		o := opts(8)
		o.GoOn = c.goOn
		var text strings.Builder
		result, err := Hold(ctx, s, o, &text)
		stop()
		var code fault.Code
		if result.Stopped != nil {
			code = result.Stopped.Code
		}
		if err != nil || code != c.code || s.doc.Policy.Name != c.stays {
			t.Errorf("%s: err %v, stopped by %q, policy %s stands\n%s", name, err, code, s.doc.Policy.Name, text.String())
		}
		if c.pairs > 0 && len(result.Pairs()) != c.pairs {
			t.Errorf("%s: %d clean pairs", name, len(result.Pairs()))
		}
		if strings.HasPrefix(name, "replica") && !strings.Contains(text.String(), "replica r1 went away") {
			t.Errorf("%s: the fault is not named: %s", name, text.String())
		}
	}
}

// A tail that has just taken over has no lease for a moment, and then knows no gateway. Where nothing is being measured, that
// is waited for; it ends a comparison only if it lasts. What a window before had measured is read afterwards.
func TestATailThatHasJustTakenOverIsWaitedFor(t *testing.T) {
	for name, c := range map[string]struct {
		unready int
		amid    int64
		code    fault.Code
	}{
		"before anything":    {unready: 4},
		"between windows":    {unready: 4, amid: 5_500_000},
		"for good":           {unready: 1000, code: fault.NotFound},
		"from a window on":   {unready: 1000, amid: 5_500_000, code: fault.NotFound},
		"for the last tries": {unready: looksMost - 1},
	} {
		s := newStage(3)
		if c.amid > 0 {
			s.at[c.amid] = func(s *stage) { s.unready = c.unready }
		} else {
			s.unready = c.unready
		}
		var text strings.Builder
		result, err := Hold(context.Background(), s, opts(4), &text)
		if err == nil && result.Stopped != nil {
			err = result.Stopped
		}
		var bad *fault.Fault
		switch {
		case c.code == "" && (err != nil || len(result.Pairs()) != 2):
			t.Errorf("%s: %v, %d clean pairs\n%s", name, err, len(result.Pairs()), text.String())
		case c.code != "" && (!errors.As(err, &bad) || bad.Code != c.code):
			t.Errorf("%s: ended by %v", name, err)
		}
		s.restored(t)
	}
}

func TestAPolicyThatCannotBePutBackIsNamed(t *testing.T) {
	s := newStage(4)
	s.at[6_000_000] = func(s *stage) { s.deaf = true }
	_, err := Hold(context.Background(), s, opts(2), io.Discard)
	var bad *Unrestored
	if !errors.As(err, &bad) || bad.Policy.Name != "before" {
		t.Fatalf("%v", err)
	}
}

func TestOddAndEmptyComparisonsAreRefusedBeforeAnythingChanges(t *testing.T) {
	for name, edit := range map[string]func(*Options){
		"odd":       func(o *Options) { o.Windows = 3 },
		"zero":      func(o *Options) { o.Windows = 0 },
		"negative":  func(o *Options) { o.Windows = -2 },
		"no window": func(o *Options) { o.Window = 0 },
		"settle":    func(o *Options) { o.Settle = -time.Second },
	} {
		s, o := newStage(5), opts(4)
		edit(&o)
		if _, err := Hold(context.Background(), s, o, io.Discard); err == nil || s.revision != 3 {
			t.Errorf("%s: %v, revision %d", name, err, s.revision)
		}
	}
}
