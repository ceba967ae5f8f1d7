// Command firstloss shows case 6: a control node that loses its disk, or is killed, while the system starts for the first
// time keeps the whole system from ever starting.
package main

import (
	"net/http"
	"os"
	"time"

	"second/kit"
)

// ackSpan is how long the operator goes on after the restart; the pages allow 4 s of a settled core.
const ackSpan = 60 * time.Second

func main() {
	c := kit.New()
	core := []*kit.Proc{}
	for i, zone := range []string{"bindery-hall", "archive-room", "office-rack"} {
		core = append(core, c.Add("control-node", "core-"+zone+"-"+string(rune('1'+i)), zone))
	}
	gateway := c.Add("gateway", "frontend-bindery-hall-1", "bindery-hall")
	lost := core[0]
	c.Start(lost)
	time.Sleep(150 * time.Millisecond)
	c.Start(core[1])
	time.Sleep(100 * time.Millisecond)
	if c.Trouble {
		lost.Kill()
		if err := os.RemoveAll(lost.Data); err != nil {
			c.End(2, "%v", err)
		}
		c.Note("%s lost its disk", lost.Name)
	}
	c.Start(core[2])
	c.Start(gateway)
	if c.Trouble {
		time.Sleep(time.Second)
		lost.First = false
		c.Start(lost)
	}
	restarted := time.Now()
	first := kit.Config(1, []map[string]any{kit.W.Route}, []map[string]any{kit.W.Service})
	restarts, taken := 0, false
	for !taken && time.Since(restarted) < ackSpan {
		for _, p := range core {
			if !p.Running() {
				// The platform starts a process again that has ended.
				time.Sleep(200 * time.Millisecond)
				restarts++
				c.Start(p)
			}
		}
		taken = c.SendUntil(0, first, time.Second)
	}
	for _, p := range core {
		res, err := http.Get("http://" + p.IP + ":7660/v1/status")
		if err == nil {
			raw := make([]byte, 600)
			n, _ := res.Body.Read(raw)
			_ = res.Body.Close()
			c.Note("status of %s: %s", p.Name, raw[:n])
		}
	}
	if !taken {
		c.End(1, "the first configuration was not acknowledged within %v of the restart; control nodes that ended by themselves meanwhile: %d", ackSpan, restarts)
	}
	c.End(0, "the first configuration was acknowledged %v after the restart", time.Since(restarted).Round(time.Millisecond))
}
