// Command movedkey shows case 7: a gateway that was frozen runs requests under the name of the tenant that held their key
// before the freeze.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"second/kit"
)

const (
	// freeze is the freeze of gateways that the site names, of a share of 0.11; here it is two of twenty.
	freeze   = 4 * time.Second
	gateways = 20
	frozenOf = 2
	asks     = 40
)

func main() {
	c := kit.New()
	for i, zone := range []string{"bindery-hall", "archive-room", "office-rack"} {
		c.Start(c.Add("control-node", fmt.Sprintf("core-%s-%d", zone, i+1), zone))
	}
	all := []*kit.Proc{}
	for i := range gateways {
		p := c.Add("gateway", fmt.Sprintf("frontend-bindery-hall-%d", i+1), "bindery-hall")
		all = append(all, p)
		c.Start(p)
	}
	routes, services := []map[string]any{kit.W.Route}, []map[string]any{kit.W.Service}
	first := kit.Tenants(1, routes, services, map[string][]string{"north-school": {"k-moved", "k-north"}, "south-school": {"k-south"}})
	second := kit.Tenants(2, routes, services, map[string][]string{"north-school": {"k-north"}, "south-school": {"k-south", "k-moved"}})
	if !c.SendUntil(0, first, 20*time.Second) {
		c.End(2, "the first configuration was not acknowledged")
	}
	replica := c.Serve("i-one", nil)
	var mu sync.Mutex
	judge, ran, lastOld := false, map[string]int{}, time.Time{}
	replica.SetAnswer(func(req *http.Request, body []byte) ([]byte, bool) {
		name := req.Header.Get(kit.H("tenant"))
		mu.Lock()
		if judge {
			ran[name]++
			if name == "north-school" {
				lastOld = time.Now()
			}
		}
		mu.Unlock()
		c.Note("replica runs %s for tenant %q", req.Header.Get(kit.H("id")), name)
		return replica.Sound(req, body)
	})
	ask := func(gateway *kit.Proc, id string) kit.Reply {
		return c.Ask(gateway, id, "notes.example", "/memo/2f", 1500, map[string]string{"key": "k-moved"})
	}
	for n, end := 0, time.Now().Add(10*time.Second); ask(all[n%frozenOf], fmt.Sprintf("w%d", n)).Status != http.StatusOK || n < frozenOf; n++ {
		if time.Now().After(end) {
			c.End(2, "no request was served")
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	if c.Trouble {
		signal(all[:frozenOf], syscall.SIGSTOP)
		c.Note("gateways frozen")
	}
	frozen := time.Now()
	if !c.SendUntil(1, second, 2*time.Second) {
		signal(all[:frozenOf], syscall.SIGCONT)
		c.End(2, "the second configuration was not acknowledged in time")
	}
	acked := time.Now()
	time.Sleep(time.Until(frozen.Add(freeze - 400*time.Millisecond)))
	mu.Lock()
	judge = true
	mu.Unlock()
	c.Note("requests are sent %v after the acknowledgement", time.Since(acked).Round(time.Millisecond))
	var wait sync.WaitGroup
	for n := range asks {
		wait.Go(func() { ask(all[n%frozenOf], fmt.Sprintf("t%02d", n)) })
	}
	time.Sleep(time.Until(frozen.Add(freeze)))
	signal(all[:frozenOf], syscall.SIGCONT)
	continued := time.Now()
	c.Note("gateways continued")
	for n := 0; time.Since(continued) < 3*time.Second; n++ {
		wait.Go(func() { ask(all[n%frozenOf], fmt.Sprintf("u%03d", n)) })
		time.Sleep(20 * time.Millisecond)
	}
	wait.Wait()
	text := fmt.Sprintf("run for the tenant that holds the key: %d, for the one that held it before: %d", ran["south-school"], ran["north-school"])
	if !lastOld.IsZero() {
		text += fmt.Sprintf(", the last of these %v after the acknowledgement and %v after the gateways continued",
			lastOld.Sub(acked).Round(time.Millisecond), lastOld.Sub(continued).Round(time.Millisecond))
	}
	switch {
	case ran["north-school"] > 0:
		c.End(1, "%s", text)
	case ran["south-school"] == 0:
		c.End(2, "%s", text)
	}
	c.End(0, "%s", text)
}

func signal(procs []*kit.Proc, s syscall.Signal) {
	for _, p := range procs {
		p.Signal(s)
	}
}
