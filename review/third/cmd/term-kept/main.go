// Command term-kept stops gateways one after the other with SIGTERM and starts them again, while clients with kept
// connections send one request each in the milliseconds around the signal.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"review/third/rig"
)

const (
	rounds  = 20
	clients = 40
	// The request of each client leaves at a time drawn from spread, whose middle is late after the signal.
	spread = 3 * time.Millisecond
	late   = 500 * time.Microsecond
)

type client struct {
	conn net.Conn
	in   *bufio.Reader
}

// ask sends one request and reads its answer; status 0 means that the connection ended without a whole answer.
func (k *client) ask(id string) (status int, err error) {
	_ = k.conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err = fmt.Fprintf(k.conn, "POST /letters/1 HTTP/1.1\r\nHost: yearbooks.example\r\n%s: %s\r\n%s: 4000\r\nContent-Length: 6\r\n\r\nletter",
		rig.W["id"], id, rig.W["deadline"]); err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(k.in, nil)
	if err != nil {
		return 0, err
	}
	if _, err = io.Copy(io.Discard, res.Body); err != nil {
		return 0, err
	}
	return res.StatusCode, nil
}

func main() {
	c := rig.Begin(3, 3)
	f := c.Fleet
	c.Must(f.Start())
	c.Must(f.Put(rig.Configuration, 0, 20*time.Second))
	var mu sync.Mutex
	ran, answered := map[string]string{}, map[string]bool{}
	for i := range 4 {
		r, l, err := rig.NewReplica(f, fmt.Sprintf("i-quill-%d", i), "quill", f.Gateway[0].IP)
		c.Must(err)
		r.OnRun = func(run rig.Run) {
			mu.Lock()
			defer mu.Unlock()
			ran[run.ID] = fmt.Sprintf("%s at %.1f ms", run.Replica, run.AtMs)
		}
		r.Serve = func(r *rig.Replica, w http.ResponseWriter, req *http.Request, _ []byte) {
			time.Sleep(30 * time.Millisecond)
			rig.Plain(r, w, req)
			mu.Lock()
			defer mu.Unlock()
			answered[req.Header.Get(rig.W["id"])] = req.Context().Err() == nil
		}
		r.Begin(l)
	}
	c.Must(f.AwaitReady(15 * time.Second))
	time.Sleep(2 * time.Second)
	lost, unread, total := 0, 0, 0
	for round := range rounds {
		g := f.Gateway[round%len(f.Gateway)]
		all := []*client{}
		for i := range clients {
			conn, err := net.Dial("tcp", g.Front())
			c.Must(err)
			k := &client{conn: conn, in: bufio.NewReader(conn)}
			if status, err := k.ask(fmt.Sprintf("%04x%04x", round, 0x8000+i)); err != nil || status != 200 {
				c.Must(fmt.Errorf("a request in calm time got %d %v", status, err))
			}
			all = append(all, k)
		}
		time.Sleep(200 * time.Millisecond)
		signalAt := time.Now().Add(50 * time.Millisecond)
		var wait sync.WaitGroup
		type result struct {
			id     string
			sentMs float64
			status int
			err    error
		}
		results := make([]result, clients)
		for i, k := range all {
			at := signalAt.Add(time.Duration(rand.Int63n(int64(spread))) - spread/2 + late)
			wait.Add(1)
			go func() {
				defer wait.Done()
				time.Sleep(time.Until(at))
				r := &results[i]
				r.id, r.sentMs = fmt.Sprintf("%04x%04x", round, i), c.Rec.Now()
				r.status, r.err = k.ask(r.id)
			}()
		}
		time.Sleep(time.Until(signalAt))
		if c.Trouble {
			g.Signal(syscall.SIGTERM)
		}
		wait.Wait()
		time.Sleep(100 * time.Millisecond)
		mu.Lock()
		for _, r := range results {
			total++
			where, did := ran[r.id]
			seen := fmt.Sprintf("got %d", r.status)
			if r.status == 0 {
				seen = fmt.Sprintf("its connection ended: %v", r.err)
			}
			if !did {
				where = "no replica"
			}
			c.Rec.Add("%s sent at %.1f ms to %s, run by %s; %s", r.id, r.sentMs, g.Name, where, seen)
			switch {
			case r.status != 0:
			case did:
				lost++
				c.Rec.Add("LOST: %s; whole answer written by the replica: %t", r.id, answered[r.id])
			default:
				unread++
			}
		}
		mu.Unlock()
		for _, k := range all {
			_ = k.conn.Close()
		}
		if c.Trouble {
			<-g.Ended()
			c.Must(g.Start())
			c.Must(f.AwaitReady(10 * time.Second))
		} else {
			time.Sleep(2500 * time.Millisecond)
		}
	}
	text := fmt.Sprintf("%d rounds, %d requests around the signal: %d had reached a replica and ended without an answer, %d more were closed unread", rounds, total, lost, unread)
	if lost > 0 {
		c.End(1, "broken: %s", text)
	}
	c.End(0, "held: %s", text)
}
