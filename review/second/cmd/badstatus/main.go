// Command badstatus shows case 6: answers of a replica in trouble whose status line bears a number that is no status take
// the gateway's places at that replica for good.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"second/kit"
)

const (
	// oneIn and spell are the dose: 3 % of the answers of one of two replicas, for 5 s.
	oneIn = 34
	spell = 5 * time.Second
	// every is the time between two requests.
	every = 7 * time.Millisecond
	// recovery is recoveryS of the site, and judged the time in which the requests are counted afterwards.
	recovery = 15 * time.Second
	judged   = 20 * time.Second
	// mostUnserved is the share of requests that the gate lets be refused or fail.
	mostUnserved = 0.6
)

func main() {
	c := kit.New()
	for i, zone := range []string{"bindery-hall", "archive-room", "office-rack"} {
		c.Start(c.Add("control-node", fmt.Sprintf("core-%s-%d", zone, i+1), zone))
	}
	gateway := c.Add("gateway", "frontend-bindery-hall-1", "bindery-hall")
	c.Start(gateway)
	route := kit.Copy(kit.W.Route, kit.W.OnceOnly)
	if !c.SendUntil(0, kit.Config(1, []map[string]any{route}, []map[string]any{kit.W.Service}), 20*time.Second) {
		c.End(2, "the first configuration was not acknowledged")
	}
	replicas := []*kit.Replica{c.Serve("i-one", nil), c.Serve("i-two", nil)}
	var n atomic.Int64
	ask := func() kit.Reply {
		return c.Ask(gateway, fmt.Sprintf("t%06d", n.Add(1)), "notes.example", "/memo/2f", 1000, nil)
	}
	for end := time.Now().Add(10 * time.Second); ask().Status != http.StatusOK; time.Sleep(200 * time.Millisecond) {
		if time.Now().After(end) {
			c.End(2, "no request was served before the trouble")
		}
	}
	served := func(span time.Duration) string {
		var wait sync.WaitGroup
		var ok, all atomic.Int64
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(every) {
			wait.Go(func() {
				all.Add(1)
				if ask().Status == http.StatusOK {
					ok.Add(1)
				}
			})
		}
		wait.Wait()
		last.ok, last.all = ok.Load(), all.Load()
		total.ok, total.all = total.ok+last.ok, total.all+last.all
		return fmt.Sprintf("%d of %d", last.ok, last.all)
	}
	text := "served before: " + served(spell)
	if last.ok*4 < last.all {
		c.End(2, "%s", text)
	}
	// The replica that serves more comes first; the other one then serves the rest.
	if replicas[1].Arrived() > replicas[0].Arrived() {
		replicas[0], replicas[1] = replicas[1], replicas[0]
	}
	for _, r := range replicas {
		var answers, bad atomic.Int64
		if c.Trouble {
			r.SetAnswer(func(req *http.Request, body []byte) ([]byte, bool) {
				if answers.Add(1)%oneIn != 0 {
					return r.Sound(req, body)
				}
				bad.Add(1)
				return []byte(fmt.Sprintf("HTTP/1.1 000 ?\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", kit.H("id"), req.Header.Get(kit.H("id")))), true
			})
			c.Note("%s in trouble", r.ID)
		}
		text += fmt.Sprintf("; during the trouble of %s: %s", r.ID, served(spell))
		r.SetAnswer(nil)
		c.Note("%s sound again after %d bad answers of %d", r.ID, bad.Load(), answers.Load())
		text += fmt.Sprintf(" (%d bad answers)", bad.Load())
	}
	text += "; in the 15 s after the trouble: " + served(recovery)
	reached := replicas[0].Arrived() + replicas[1].Arrived()
	text += "; from then on: " + served(judged)
	text += fmt.Sprintf(", of which %d reached a replica", replicas[0].Arrived()+replicas[1].Arrived()-reached)
	unserved := float64(total.all-total.ok) / float64(total.all)
	text += fmt.Sprintf("; not served of the whole run: %.1f in 100", 100*unserved)
	if unserved > mostUnserved {
		c.End(1, "%s", text)
	}
	c.End(0, "%s", text)
}

// last holds the counts of the newest span, total those of all.
var last, total struct{ ok, all int64 }
