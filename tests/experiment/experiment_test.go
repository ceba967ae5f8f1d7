package experiment

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand"
	"strings"
	"testing"

	"petreltide/internal/api/feature"
)

// drawn is a player whose days have luck of their own, and noise beside it; a variant named worse earns less.
type drawn struct {
	noise, worse float64
}

var errNotPlayed = errors.New("not played")

func (p drawn) Play(_ context.Context, v Variant, d Day) (Result, error) {
	if d.Name == "fails" {
		return Result{}, errNotPlayed
	}
	luck := rand.New(rand.NewSource(d.Seed)).Float64() / 2
	h := fnv.New64a()
	fmt.Fprint(h, v.Name, d)
	noise := rand.New(rand.NewSource(int64(h.Sum64()))).NormFloat64() * p.noise
	value := 0.4 + luck + noise
	if v.Name == "worse" {
		value -= p.worse
	}
	return Result{Variant: v.Name, Day: d, Worth: value}, nil
}

func plan(days int, variants ...string) Plan {
	p := Plan{Jobs: 3}
	for _, name := range variants {
		p.Variants = append(p.Variants, Variant{Name: name})
	}
	for seed := range days {
		p.Days = append(p.Days, Day{Site: "s", Name: "d", Seed: int64(seed + 1)})
	}
	return p
}

func TestAWorseVariantIsToldFromOneThatIsTheSame(t *testing.T) {
	p := plan(12, "base", "same", "worse")
	results, errs := Run(t.Context(), p, drawn{noise: 0.01, worse: 0.03})
	if len(errs) > 0 || len(results) != 36 {
		t.Fatalf("%d results, %v", len(results), errs)
	}
	all := Compare(p, results)
	if len(all) != 2 || all[0].Differs() || !all[1].Differs() || all[1].High >= 0 {
		t.Errorf("%v", all)
	}
	if all[1].Low > -0.03 || all[1].High < -0.03 {
		t.Errorf("what was planted is not in the interval: %s", all[1])
	}
}

func TestIntervalsHoldWhatIsPlantedAsOftenAsTheySay(t *testing.T) {
	held, all := 0, 0
	for round := range 200 {
		p := plan(6, "base", "same")
		for i := range p.Days {
			p.Days[i].Seed += int64(round) * 100
		}
		results, _ := Run(t.Context(), p, drawn{noise: 0.02})
		all++
		if !Compare(p, results)[0].Differs() {
			held++
		}
	}
	if share := float64(held) / float64(all); share < 0.9 || share > 0.99 {
		t.Errorf("no difference is within %.3f of the intervals", share)
	}
}

func TestADayThatWasNotPlayedIsInNoPair(t *testing.T) {
	p := plan(3, "base", "other")
	p.Days[1].Name = "fails"
	results, errs := Run(t.Context(), p, drawn{})
	d := Compare(p, results)[0]
	if len(errs) != 2 || !errors.Is(errs[0], errNotPlayed) || d.Pairs != 2 {
		t.Errorf("%v, %v", errs, d)
	}
	if one := difference("v", []float64{0.2}); one.Differs() || one.Pairs != 1 {
		t.Errorf("one pair proves nothing: %v", one)
	}
}

func TestParseVariant(t *testing.T) {
	v, bad := ParseVariant("lean=SpareRoom,EarlyRefusal")
	if bad != nil || v.Name != "lean" || v.Disable.String() != "SpareRoom,EarlyRefusal" {
		t.Errorf("%v %v", v, bad)
	}
	for _, text := range []string{"lean", "=SpareRoom", "lean=Spare", "lean=SpareRoom,SpareRoom"} {
		if _, bad := ParseVariant(text); bad == nil {
			t.Errorf("%q is taken", text)
		}
	}
}

func TestTheDeployFileSwitchesMechanismsOffForEveryRole(t *testing.T) {
	deploy := []byte("build = \"go build\"\n[roles.a]\nrun = \"target/p a\"\non = \"x\"\n[roles.b]\nrun = \"target/p b\"\n")
	got := string(disabled(deploy, Variant{Disable: feature.Disabled{feature.SpareCapacity, feature.EarlyRefusal}}))
	if strings.Count(got, `" target`) != 0 || strings.Count(got, ` --disable SpareRoom,EarlyRefusal"`) != 2 || !strings.HasPrefix(got, "build = \"go build\"\n") {
		t.Error(got)
	}
	if !bytes.Equal(disabled(deploy, Variant{}), deploy) {
		t.Error("with all mechanisms on the file is as it was")
	}
}

func TestWriteCSV(t *testing.T) {
	var out bytes.Buffer
	if err := WriteCSV(&out, []Result{{Variant: "v", Day: Day{Site: "s", Name: "d", Seed: 3}, Worth: 0.5, Served: 0.75, Broken: 1}}); err != nil {
		t.Fatal(err)
	}
	if want := "variant,site,day,seed,worth,served,broken\nv,s,d,3,0.5000,0.7500,1\n"; out.String() != want {
		t.Errorf("%q, want %q", out.String(), want)
	}
}
