package scheduling

import (
	"fmt"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/feature"
	"petreltide/internal/process/clock"
)

// attemptSamples are attempts for one model that started at fromUs, a hundred ms apart, of which some had a first piece after
// firstMs, and the others none.
func attemptSamples(fromUs int64, firstMs ...int64) []attemptSample {
	all := []attemptSample{}
	for i, ms := range firstMs {
		atUs := fromUs + int64(i)*100*clock.Ms
		c := &Call{ArrivedUs: atUs}
		if ms > 0 {
			c.FirstByteUs.Store(atUs + ms*clock.Ms)
		}
		all = append(all, attemptSample{call: c, startUs: atUs, targetUs: 320 * clock.Ms})
	}
	return all
}

func TestRejectFractionFollowsLateAttempts(t *testing.T) {
	nowUs := 10 * clock.Sec
	startUs := nowUs - 1800*clock.Ms
	for name, row := range map[string]struct {
		all         []attemptSample
		least, most float64
	}{
		"nothing is known":                      {nil, 0, 0},
		"all are in time":                       {attemptSamples(startUs, 100, 200, 300, 310), 0, 0},
		"one is late":                           {attemptSamples(startUs, 100, 900, 300, 200), 0, 0},
		"more than half are in time":            {attemptSamples(startUs, 100, 900, 300, 900, 300), 0, 0},
		"a single one is late":                  {attemptSamples(startUs, 900), 0.3, 0.34},
		"all of many are late":                  {attemptSamples(startUs, 900, 950, 1000, 1100, 1200, 900, 900, 900, 900, 900), 0.8, 0.85},
		"none has come, and each should have":   {attemptSamples(startUs, 0, 0, 0, 0, 0, 0), 0.7, 0.8},
		"none has come, and each may yet":       {attemptSamples(nowUs-300*clock.Ms, 0, 0, 0, 0, 0), 0, 0},
		"a quarter is in time":                  {attemptSamples(startUs, 900, 900, 900, 100, 900, 900, 900, 100), 0.3, 0.4},
		"what was late was late some while ago": {attemptSamples(nowUs-8*clock.Sec, 900, 900, 900, 900, 900), 0, 0},
	} {
		a := newAdmission()
		a.recent["s|m"] = row.all
		if part := a.rejectFraction("s|m", nowUs); part < row.least || part > row.most {
			t.Errorf("%s: %.3f is refused, want %.2f to %.2f", name, part, row.least, row.most)
		}
		if part := a.rejectFraction("s|other", nowUs); part != 0 {
			t.Errorf("%s: %.3f of another model's calls are refused", name, part)
		}
	}
}

// Demand for one model rises to three times what its replicas do, for twelve seconds. With refusals what the replicas
// do is done in time; without, nearly every call is late.
func TestAdmissionKeepsCallsOnTimeUnderOverload(t *testing.T) {
	inTime := map[bool]float64{}
	for _, refuses := range []bool{true, false} {
		a := newAdmission()
		r := &RoutedCall{Route: &configuration.Route{LatencyTargetMs: 800}, Service: "s"}
		served, good, offered := 0, 0, 0
		freeUs := int64(0)
		due := []*Call{}
		for nowUs := int64(0); nowUs < 12*clock.Sec; nowUs += 10 * clock.Ms {
			for len(due) > 0 && due[0].Progress.Load() <= nowUs {
				due[0].FirstByteUs.Store(due[0].Progress.Load())
				due = due[1:]
			}
			if nowUs%(30*clock.Ms) != 0 {
				continue
			}
			offered++
			c := &Call{Model: "m", ArrivedUs: nowUs, Routed: r}
			if draw := float64(mixHash(uint64(offered))%hashBuckets) / hashBuckets; refuses && draw < a.rejectFraction("s|m", nowUs) {
				continue
			}
			a.attemptStarted(c, nowUs)
			freeUs = max(freeUs, nowUs) + 90*clock.Ms
			c.Progress.Store(freeUs)
			due = append(due, c)
			served++
			if freeUs-nowUs <= 800*clock.Ms {
				good++
			}
		}
		inTime[refuses] = float64(good) / float64(offered)
		t.Logf("refuses: %v; %d offered, %d let in, %d in time", refuses, offered, served, good)
	}
	if inTime[true] < 2*inTime[false] || inTime[true] < 0.1 {
		t.Errorf("%.3f in time with refusals, %.3f without", inTime[true], inTime[false])
	}
}

// newSlowModelHarness is a gateway whose calls for a model that two replicas hold have had no first piece for 1.5 s.
func newSlowModelHarness(disable ...feature.Gate) *harness {
	rows := replicaUpdates("engine", "r1", "r2")
	for i := range rows {
		rows[i].Slots = 200
	}
	h := newHarness(Options{Disable: disable}, newRoutedSnapshot(declarationWithTarget(1000, 2000), 1, rows...))
	for i := range 20 {
		h.sendCallWithTimeout(fmt.Sprint("slow", i), "m", 5000)
	}
	h.advance(1500 * clock.Ms)
	return h
}

func TestOverloadRejectsCallsForSlowModelWithRetryAfter(t *testing.T) {
	h := newSlowModelHarness()
	refused := 0
	for i := range 100 {
		id := fmt.Sprint("new", i)
		h.sendCallWithTimeout(id, "m", 5000)
		e := h.final[id]
		if e == nil {
			continue
		}
		refused++
		if asCallFailed(e) == nil || asCallFailed(e).Fault.Run != fault.RunNone || asCallFailed(e).Fault.Code != fault.Overloaded {
			t.Fatalf("%s: %+v", id, e)
		}
		if ms := asCallFailed(e).Fault.RetryMs; ms < minRetryAfterMs/2 || ms > 5000/retryAfterDivisor {
			t.Errorf("%s is to come back after %d ms", id, ms)
		}
	}
	if refused < 60 || refused == 100 {
		t.Errorf("%d of 100 are refused", refused)
	}
	for i := range 20 {
		id := fmt.Sprint("again", i)
		if h.sendCallWithTimeout(id, "m", 3000); h.final[id] != nil {
			t.Errorf("one that came back is refused again: %+v", h.final[id])
		}
	}
}

func TestDisabledOverloadRefusalAdmitsAllCalls(t *testing.T) {
	h := newSlowModelHarness(feature.OverloadRefusal)
	for i := range 50 {
		id := fmt.Sprint("new", i)
		if h.sendCallWithTimeout(id, "m", 5000); h.final[id] != nil {
			t.Fatalf("%s: %+v", id, h.final[id])
		}
	}
}

func TestDisabledEarlyRefusalKeepsCallQueuedForItsModel(t *testing.T) {
	h := newHarness(Options{Disable: feature.Disabled{feature.EarlyRefusal}}, newRoutedSnapshot(declarationWithTarget(1000, 2000), 1, loadingReplicas("n")...))
	for i := range 10 {
		id := fmt.Sprint("first", i)
		if h.sendCallWithTimeout(id, "n", 5000); h.final[id] != nil {
			t.Fatalf("%s: %+v", id, h.final[id])
		}
	}
}
