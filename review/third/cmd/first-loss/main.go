// Command first-loss starts a whole deployment for the first time and loses one machine of the core for good, half a
// second after that machine was started. An empty machine at another address replaces it.
package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/third/rig"
)

// The times of the run, from the start of the first process.
const (
	lossAt      = 450 * time.Millisecond
	replaceAt   = 1500 * time.Millisecond
	trafficAt   = 10 * time.Second
	allIsBackAt = 18 * time.Second // replaceAt, catchUpS 4, recoveryS 12
	endAt       = 80 * time.Second
)

// keepUp starts a process again that has ended by itself, as the platform does.
func keepUp(c *rig.Case, n *rig.Node) {
	for !c.Over() {
		<-n.Ended()
		time.Sleep(500 * time.Millisecond)
		if n.Start() != nil {
			return
		}
	}
}

func main() {
	c := rig.Begin(4, 3)
	f, start := c.Fleet, time.Now()
	sleepUntil := func(at time.Duration) { time.Sleep(time.Until(start.Add(at))) }
	// Each starts within 0.3 s of the others.
	for i, n := range f.Control[:3] {
		sleepUntil(time.Duration(i) * 100 * time.Millisecond)
		c.Must(n.Start())
	}
	for _, n := range f.Gateway {
		c.Must(n.Start())
	}
	f.First(false)
	for i := range 4 {
		r, l, err := rig.NewReplica(f, fmt.Sprintf("i-quill-%d", i), "quill", f.Gateway[0].IP)
		c.Must(err)
		r.Slots = 6
		r.Begin(l)
	}
	listed := func() []*rig.Node {
		if c.Trouble && time.Since(start) > replaceAt+3*time.Second {
			return f.Control[1:4]
		}
		return f.Control[:3]
	}
	var acknowledgedMs atomic.Int64
	go func() {
		sleepUntil(400 * time.Millisecond)
		if err := f.PutRaw(rig.Configuration, 0, endAt, listed); err == nil {
			acknowledgedMs.Store(time.Since(start).Milliseconds())
		}
	}()
	if c.Trouble {
		sleepUntil(lossAt)
		f.Control[0].Signal(syscall.SIGKILL)
		c.Rec.Add("core-1 is gone for good")
		sleepUntil(replaceAt)
		c.Must(f.Control[3].Start())
		c.Rec.Add("core-4 replaces it, empty, at another address")
		go keepUp(c, f.Control[3])
	}
	sleepUntil(trafficAt)
	var mu sync.Mutex
	answers := map[string]int{}
	var sent, served atomic.Int64
	for i := 0; time.Since(start) < endAt; i++ {
		at := time.Since(start)
		go func() {
			id := fmt.Sprintf("%08x", i+1)
			req, _ := http.NewRequest(http.MethodPost, "http://"+f.Gateway[i%3].Front()+"/notes/1", bytes.NewReader([]byte("note")))
			req.Host = "yearbooks.example"
			req.Header.Set(rig.W["id"], id)
			req.Header.Set(rig.W["deadline"], "1500")
			client := http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
			res, err := client.Do(req)
			what := "no answer"
			if err == nil {
				what = fmt.Sprint(res.StatusCode)
				_ = res.Body.Close()
			}
			if at > allIsBackAt {
				sent.Add(1)
				if what == "200" {
					served.Add(1)
				}
			}
			mu.Lock()
			answers[what]++
			mu.Unlock()
			if i%40 == 0 {
				c.Rec.Add("request %s: %s", id, what)
			}
		}()
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(1600 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	text := fmt.Sprintf("first configuration acknowledged after %d ms (0: never in %v); from %v on %d of %d requests were served; answers %v",
		acknowledgedMs.Load(), endAt, allIsBackAt, served.Load(), sent.Load(), answers)
	if served.Load() == 0 && acknowledgedMs.Load() == 0 {
		c.End(1, "broken: %s", text)
	}
	c.End(0, "held: %s", text)
}
