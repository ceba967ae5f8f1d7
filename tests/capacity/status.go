package capacity

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

type controlNodeStatus struct {
	ControlNode struct {
		Name string `json:"name"`
		Addr string `json:"addr"`
	} `json:"office"`
	Phase string `json:"phase"`
	View  struct {
		Number uint64 `json:"number"`
		Order  []struct {
			Name string `json:"name"`
		} `json:"order"`
	} `json:"view"`
	IsLeader bool              `json:"onDuty"`
	Revision uint64            `json:"revision"`
	Replicas []json.RawMessage `json:"replicas"`
	Pending  []json.RawMessage `json:"pending"`
	Loads    uint64            `json:"loads"`
	Open     bool              `json:"open"`
}

func get(ctx context.Context, url string, into any) (size int, err error) {
	ctx, done := context.WithTimeout(ctx, 5*time.Second)
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, errors.Trace(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		return 0, errors.Errorf("%s: %d %v", url, res.StatusCode, err)
	}
	if into == nil {
		return len(raw), nil
	}
	return len(raw), errors.Trace(json.Unmarshal(raw, into))
}

func (f *fleet) seated(ctx context.Context) int {
	st := controlNodeStatus{}
	if _, err := get(ctx, "http://"+f.controlNodes[0].internal()+"/v1/status", &st); err != nil {
		return 0
	}
	return len(st.View.Order)
}

// roles names the control nodes by their place in the chain, as they say it themselves.
func (f *fleet) roles(ctx context.Context) (map[string]string, error) {
	var last error
	for _, p := range f.controlNodes {
		st := controlNodeStatus{}
		if _, err := get(ctx, "http://"+p.internal()+"/v1/status", &st); err != nil {
			last = err
			continue
		}
		roles := map[string]string{}
		for i, s := range st.View.Order {
			switch i {
			case 0:
				roles[s.Name] = "controller"
			case len(st.View.Order) - 1:
				roles[s.Name] = "tail"
			default:
				roles[s.Name] = "member"
			}
		}
		return roles, nil
	}
	return nil, last
}

// steady waits until every hollow gateway follows two control nodes and has been told of every replica.
func (f *fleet) steady(ctx context.Context) bool {
	until := time.Now().Add(f.plan.Ready)
	for time.Now().Before(until) && ctx.Err() == nil {
		all := f.seated(ctx) == len(f.controlNodes)
		for _, d := range f.world.gateways {
			if d.streams.Load() < 2 || d.revision.Load() < f.op.revision.Load() || d.rows.Load() < int64(f.plan.Replicas) {
				all = false
				break
			}
		}
		if all {
			return true
		}
		pause(ctx, 200*time.Millisecond)
	}
	return false
}
