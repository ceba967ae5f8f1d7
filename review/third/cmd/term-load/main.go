// Command term-load is no case: it stops two gateways in turn under a steady load on kept connections and counts the
// requests that had run when their connection ended. Arguments: petreltide, seconds, clients, mean pause in microseconds.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/third/rig"
)

func main() {
	rec, _ := rig.NewRecord(os.DevNull)
	secs, _ := strconv.Atoi(os.Args[2])
	workers, _ := strconv.Atoi(os.Args[3])
	think, _ := strconv.Atoi(os.Args[4])
	f, err := rig.NewFleet(os.Args[1], rec, 3, 2)
	if err != nil {
		panic(err)
	}
	defer f.Stop()
	if err := f.Start(); err != nil {
		panic(err)
	}
	if err := f.Put(rig.Configuration, 0, 15*time.Second); err != nil {
		panic(err)
	}
	var ran sync.Map
	for i := range 4 {
		r, l, err := rig.NewReplica(f, fmt.Sprintf("i-%d", i), "quill", "127.0.0.1")
		if err != nil {
			panic(err)
		}
		r.Slots = 400
		r.OnRun = func(run rig.Run) { ran.Store(run.ID, run.Replica) }
		r.Begin(l)
	}
	if err := f.AwaitReady(10 * time.Second); err != nil {
		panic(err)
	}
	time.Sleep(time.Second)
	end := time.Now().Add(time.Duration(secs) * time.Second)
	var ok, other, closed, lost atomic.Int64
	var wg sync.WaitGroup
	for w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c net.Conn
			var br *bufio.Reader
			for k := 0; time.Now().Before(end); k++ {
				if c == nil {
					var err error
					c, err = net.DialTimeout("tcp", f.Gateway[rand.Intn(2)].Front(), time.Second)
					if err != nil {
						c = nil
						time.Sleep(10 * time.Millisecond)
						continue
					}
					br = bufio.NewReader(c)
				}
				if think > 0 {
					time.Sleep(time.Duration(rand.Intn(2*think)) * time.Microsecond)
				}
				id := fmt.Sprintf("t-%d-%d", w, k)
				_ = c.SetDeadline(time.Now().Add(5 * time.Second))
				if len(os.Args) > 5 && rand.Intn(3) == 0 {
					time.Sleep(time.Duration(rand.Intn(3000)) * time.Millisecond)
				}
				_, err := fmt.Fprintf(c, "POST /letters/x HTTP/1.1\r\nHost: yearbooks.example\r\n%s: %s\r\n%s: 2500\r\nContent-Length: 5\r\n\r\nhello", rig.W["id"], id, rig.W["deadline"])
				var res *http.Response
				if err == nil {
					res, err = http.ReadResponse(br, nil)
				}
				if err != nil {
					closed.Add(1)
					time.Sleep(200 * time.Millisecond)
					if at, did := ran.Load(id); did {
						lost.Add(1)
						rec.Add("LOST: %s ran at %v and its connection ended: %v", id, at, err)
					}
					_ = c.Close()
					c = nil
					continue
				}
				_, _ = io.Copy(io.Discard, res.Body)
				if res.StatusCode == 200 {
					ok.Add(1)
				} else {
					other.Add(1)
				}
				if res.Close || (len(os.Args) > 5 && rand.Intn(2) == 0) {
					_ = c.Close()
					c = nil
				}
			}
		}()
	}
	terms := 0
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(-4*time.Second))
	defer cancel()
	for i := 0; ctx.Err() == nil; i++ {
		g := f.Gateway[i%2]
		time.Sleep(700 * time.Millisecond)
		g.Signal(syscall.SIGTERM)
		terms++
		<-g.Ended()
		_ = g.Start()
		time.Sleep(700 * time.Millisecond)
	}
	wg.Wait()
	fmt.Println("terms", terms, "ok", ok.Load(), "other", other.Load(), "closed", closed.Load(), "lost", lost.Load())
}
