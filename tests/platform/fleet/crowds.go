package fleet

import (
	"context"
	"time"

	"petreltide/tests/platform/crowd"
)

// crowdTime is how long a crowd stays once it has settled.
const crowdTime = time.Second

// crowd opens a crowd of clients that keep no limit at one listener of a machine, both drawn, and closes it after a while.
func (f *Fleet) crowd(ctx context.Context) {
	kinds := []crowd.Kind{
		crowd.ShortFields, crowd.LongFields, crowd.EndlessHead, crowd.OneField, crowd.RequestLine, crowd.Silent, crowd.EmptyLines,
		crowd.ShortHeads(700, 16<<10), crowd.HeldBodies("held bodies", 100, "POST /grade/1f", "", 1<<20),
	}
	addresses := []string{}
	for _, p := range append(f.Gateways(), f.ControlNodes()...) {
		for _, address := range []string{p.Clients, p.Readiness, p.ControlPlane, p.Internal} {
			if address != "" {
				addresses = append(addresses, address)
			}
		}
	}
	opened := crowd.Open(ctx, addresses[f.draw(len(addresses))], kinds[f.draw(len(kinds))])
	defer opened.Close()
	opened.Settle()
	time.Sleep(crowdTime)
}
