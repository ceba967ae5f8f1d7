package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"petreltide/internal/dataplane/gateway"
)

const (
	// statusPort is the port of a gateway's status page: the second of its internal ports.
	statusPort = innerFirst + 1
	// maxAttemptTime is longer than any route's time limit, after which no attempt may be open.
	maxAttemptTime = 15 * time.Second
	// statusTimeout bounds one request for a gateway's status.
	statusTimeout = 2 * time.Second
)

// awaitNoOpenAttempts waits until no gateway counts an attempt as open, once all clients have ended. An attempt that stays open takes
// a slot of its replica for good.
func (f *Fleet) awaitNoOpenAttempts(ctx context.Context) error {
	for end := time.Now().Add(maxAttemptTime); ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		open := map[string]map[string]int{}
		for _, p := range f.of("gateway") {
			if attempts := openAttempts(p); len(attempts) > 0 {
				open[p.name] = attempts
			}
		}
		if len(open) == 0 {
			return nil
		}
		if time.Now().After(end) {
			return errors.Errorf("attempts open %v after the last client has ended, by gateway and replica: %v", maxAttemptTime, open)
		}
	}
	return ctx.Err()
}

// openAttempts returns the attempts that a gateway counts as open, by replica; none if it does not answer.
func openAttempts(p *machineProc) map[string]int {
	client := &http.Client{Timeout: statusTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get(fmt.Sprintf("http://%s:%d/v1/status", p.ip, statusPort))
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	var status gateway.Status
	if json.NewDecoder(res.Body).Decode(&status) != nil {
		return nil
	}
	return status.Work.InFlight
}
