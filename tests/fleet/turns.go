package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/juju/errors"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/controlnode"
	"petreltide/tests/modelserver"
	"petreltide/tests/rules"
)

// turn is a change that stands while a fault is caused, and is taken back after it.
type turn struct {
	id   string
	away func(d *configuration.Declaration)
	gone rules.Change
	back rules.Change
}

func refused(code fault.Code, concerns func(rules.ClientAttempt) bool) rules.Change {
	return rules.Change{Concerns: concerns, Told: func(t rules.ClientAttempt) bool { return t.Code == string(code) && concerns(t) }}
}

// turns are the changes whose old way can be seen from outside by the clock of whoever judges.
func turns(doc *configuration.Declaration) []turn {
	model, adapter := doc.Models[len(doc.Models)/3].Name, doc.Adapters[0].Name
	list := []turn{
		{id: model, gone: rules.RemovedUnit(rules.Interval{ID: model}),
			back: refused(fault.UnknownModel, func(t rules.ClientAttempt) bool { return t.Model == model }),
			away: func(d *configuration.Declaration) {
				models, adapters := []configuration.Model{}, []configuration.Adapter{}
				for _, m := range d.Models {
					if m.Name != model {
						models = append(models, m)
					}
				}
				for _, a := range d.Adapters {
					if a.Model != model {
						adapters = append(adapters, a)
					}
				}
				d.Models, d.Adapters = models, adapters
			}},
		{id: adapter, gone: rules.RemovedUnit(rules.Interval{ID: adapter}),
			back: refused(fault.UnknownAdapter, func(t rules.ClientAttempt) bool { return t.Adapter == adapter }),
			away: func(d *configuration.Declaration) { d.Adapters = d.Adapters[1:] }},
	}
	for _, k := range doc.Kinds {
		if k.Resumable {
			ofKind := func(t rules.ClientAttempt) bool { return t.Kind == k.Name }
			list = append(list, turn{id: "resumable " + k.Name,
				gone: rules.Change{Concerns: ofKind, Runs: func(r modelserver.Run, ask rules.ClientAttempt, nth int) bool {
					return ask.Kind == k.Name && (nth > 1 || r.First > 1)
				}},
				back: refused(fault.BadLastEventID, ofKind),
				away: func(d *configuration.Declaration) {
					kinds := append([]configuration.Kind(nil), d.Kinds...)
					for i := range kinds {
						kinds[i].Resumable = kinds[i].Resumable && kinds[i].Name != k.Name
					}
					d.Kinds = kinds
				}})
		}
	}
	return list
}

// change puts a whole declaration in force, whatever happens meanwhile: one in doubt is sent again under
// its own id, one that another had overtaken is built again on what stands.
func (f *Fleet) change(ctx context.Context, d *configuration.Declaration) error {
	raw, err := json.Marshal(d)
	if err != nil {
		return errors.Trace(err)
	}
	for ctx.Err() == nil {
		r, err := f.AskAny(ctx, http.MethodGet, "/v1/config", "")
		now := controlnode.CurrentConfig{}
		if err != nil || json.Unmarshal(r.Body, &now) != nil {
			return errors.Errorf("%v %s", err, r.Body)
		}
		r, err = f.AskAny(ctx, http.MethodPut, fmt.Sprintf("/v1/config?base=%d&change=turn-%d", now.Revision, NowUs()), string(raw))
		switch {
		case err != nil:
			return errors.Trace(err)
		case r.Status == http.StatusOK:
			return nil
		case r.Status != http.StatusConflict && r.Status != http.StatusAccepted:
			return errors.Errorf("status %d: %s", r.Status, r.Body)
		}
	}
	return ctx.Err()
}

// stand is told of a change that was acknowledged now; over ends what stands of a name.
func (f *Fleet) stand(c rules.Change, id string) {
	c.Interval = rules.Interval{ID: id, FromUs: NowUs(), ToUs: rules.Open}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Changes = append(f.Changes, c)
}

func (f *Fleet) over(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.Changes {
		if c := &f.Changes[i]; c.ID == id && c.ToUs == rules.Open {
			c.ToUs = NowUs()
		}
	}
}

// Under causes a fault while a change stands, and takes the change back.
func (f *Fleet) Under(ctx context.Context, name string, pick int) (caused bool, err error) {
	list := turns(f.Doc)
	if pick >= len(list) {
		return f.Bring(ctx, name)
	}
	t := list[pick]
	d := *f.Doc
	t.away(&d)
	f.over(t.id)
	if err := f.change(ctx, &d); err != nil {
		return false, errors.Annotate(err, t.id)
	}
	f.stand(t.gone, t.id)
	caused, err = f.Bring(ctx, name)
	f.over(t.id)
	if undone := f.change(ctx, f.Doc); undone != nil {
		return caused, errors.Annotate(undone, t.id)
	}
	f.stand(t.back, t.id)
	return caused, err
}
