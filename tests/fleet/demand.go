package fleet

import (
	"context"
	"fmt"
	"math"
	"math/rand"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"petreltide/internal/api/configuration"
	"petreltide/internal/dataplane/gateway"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/rpc"
	"petreltide/tests/callers"
	"petreltide/tests/rules"
)

// Demand is seeded calls at a rate; Rare asks for the less popular half of the models.
type Demand struct {
	Doc        *configuration.Declaration
	PerSecond  float64
	Seed       int64
	Label      string
	Rare       bool
	DeadlineMs int64
}

// Next draws a call: interactive kinds carry most, popular models come first, and calls share
// the first parts of their prompts.
func Next(r *rand.Rand, d Demand, n int) gateway.CallRequest {
	kinds := d.Doc.Kinds
	whole := 0
	for _, k := range kinds {
		whole += k.Urgency * k.Urgency
	}
	at := r.Intn(whole)
	kind := kinds[0]
	for _, k := range kinds {
		if at < k.Urgency*k.Urgency {
			kind = k
			break
		}
		at -= k.Urgency * k.Urgency
	}
	models := d.Doc.Models
	i := int(math.Abs(r.NormFloat64()) * float64(len(models)) / 5)
	if d.Rare {
		i = len(models)/2 + r.Intn(len(models)/2)
	}
	model := models[min(i, len(models)-1)]
	ask := gateway.CallRequest{Kind: kind.Name, Model: model.Name, DeadlineMs: d.DeadlineMs}
	if r.Intn(3) == 0 {
		fits := []string{}
		for _, a := range d.Doc.Adapters {
			if a.Model == model.Name {
				fits = append(fits, a.Name)
			}
		}
		if len(fits) > 0 {
			ask.Adapter = fits[r.Intn(len(fits))]
		}
	}
	school := r.Intn(6)
	ask.Prefix = []string{"house rules", fmt.Sprintf("school %d", school), fmt.Sprintf("class %d.%d", school, r.Intn(3))}
	ask.Prompt = fmt.Sprintf("%s-%d-%d go on", d.Label, d.Seed, n)
	return ask
}

// Run sends seeded demand at the gateways until ctx ends, then waits for what is open.
func (f *Fleet) Run(ctx context.Context, d Demand) {
	r := rand.New(rand.NewSource(d.Seed))
	client := rpc.Client(500, "")
	var open sync.WaitGroup
	next := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		ask := Next(r, d, n)
		pick := r.Int()
		next = next.Add(time.Duration(r.ExpFloat64() / d.PerSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(next)):
			open.Add(1)
			go func() {
				defer open.Done()
				f.oneCall(client, d.Doc, ask, pick)
			}()
		}
	}
	open.Wait()
}

func (f *Fleet) oneCall(client *http.Client, doc *configuration.Declaration, ask gateway.CallRequest, pick int) {
	kind := doc.Kind(ask.Kind)
	prompt := ask.Prompt
	for try := 0; try < 3; try++ {
		gateways := f.Addrs("gateway")
		addr := gateways[(pick+try)%len(gateways)]
		if try > 0 {
			tag, rest, _ := strings.Cut(prompt, " ")
			ask.Prompt = fmt.Sprintf("%s.%d %s", tag, try, rest)
		}
		tag, _, _ := strings.Cut(ask.Prompt, " ")
		ctx, done := context.WithTimeout(context.Background(), 60*time.Second)
		t := callers.Send(ctx, client, addr, ask, "", rules.ClientAttempt{Tag: tag, Resumable: kind.Resumable})
		done()
		f.Note(t)
		if t.Run != "none" || t.RetryMs == 0 || try == 2 {
			return
		}
		time.Sleep(time.Duration(min(t.RetryMs, 3000)) * time.Millisecond)
	}
}

// KindRow sums what became of the calls of one kind; times are milliseconds.
type KindRow struct {
	Kind     string
	Calls    int
	Ended    int
	Codes    map[string]int
	FirstP50 float64
	FirstP95 float64
	FirstP99 float64
	WholeP50 float64
}

// Rows sums calls by kind, in order of the kinds' names.
func Rows(reported []rules.ClientAttempt) []KindRow {
	byKind := map[string][]rules.ClientAttempt{}
	for _, t := range reported {
		byKind[t.Kind] = append(byKind[t.Kind], t)
	}
	rows := []KindRow{}
	for kind, list := range byKind {
		row := KindRow{Kind: kind, Calls: len(list), Codes: map[string]int{}}
		first, whole := []float64{}, []float64{}
		for _, t := range list {
			if t.Complete {
				row.Ended++
				first = append(first, float64(t.FirstUs-t.StartUs)/1000)
				whole = append(whole, float64(t.EndUs-t.StartUs)/1000)
				continue
			}
			row.Codes[t.Code]++
		}
		row.FirstP50, row.FirstP95, row.FirstP99 = Percentile(first, 50), Percentile(first, 95), Percentile(first, 99)
		row.WholeP50 = Percentile(whole, 50)
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Kind < rows[j].Kind })
	return rows
}

// Percentile is the value below which p in 100 of the list lie, 0 of an empty one.
func Percentile(list []float64, p float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := append([]float64(nil), list...)
	sort.Float64s(sorted)
	return sorted[min(len(sorted)-1, int(float64(len(sorted))*p/100))]
}

// EndedRatio is the part of the attempts begun in a span that ended well.
func EndedRatio(reported []rules.ClientAttempt, fromUs, toUs int64) (float64, int) {
	all, ended := 0, 0
	for _, t := range reported {
		if t.StartUs >= fromUs && t.StartUs < toUs && t.Code != HungUp {
			all++
			if t.Complete {
				ended++
			}
		}
	}
	if all == 0 {
		return 0, 0
	}
	return float64(ended) / float64(all), all
}

// NowUs reads the machine's clock.
func NowUs() int64 { return clock.NowUs() }
