// Command founding loses one of three control nodes for good during the first start and replaces it by an empty one at another
// address. See review/5/claim.txt.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"second/world"
)

const (
	broken  = 1
	held    = 0
	cantRun = 2
	// lostAt is when the machine is lost, replacedAt when the other one is started, both from the first start.
	lostAt     = 250 * time.Millisecond
	replacedAt = 1250 * time.Millisecond
	// lag is how much later the platform's list of machines shows a change.
	lag = 3 * time.Second
	// trafficAt and endAt are when the demand begins and ends.
	trafficAt = 10 * time.Second
	endAt     = 75 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := world.New(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Println(err)
		return cantRun
	}
	defer w.End()
	core, gateways, ips, err := w.StartFleet(3)
	if err != nil {
		fmt.Println(err)
		return cantRun
	}
	next := w.Machine("core-tartu-c-2", "control-node", "tartu-c")
	var mu sync.Mutex
	list := ips
	control := func() []string { mu.Lock(); defer mu.Unlock(); return list }
	for i, z := range world.Zones {
		r, err := w.Replica(fmt.Sprintf("i-%d", i+1), "log", z, control)
		if err != nil {
			fmt.Println(err)
			return cantRun
		}
		defer r.End()
	}
	if trouble {
		w.At(lostAt)
		core[2].Lose()
		w.Note("%s is lost for good", core[2].Name)
		w.At(replacedAt)
		if err := next.Start(false, ips); err != nil {
			fmt.Println(err)
			return cantRun
		}
		go func() {
			w.At(replacedAt + lag)
			mu.Lock()
			list = []string{core[0].IP, core[1].IP, next.IP}
			mu.Unlock()
		}()
	}
	acked := make(chan time.Duration, 1)
	go operate(w, control, acked)
	w.At(trafficAt)
	served, sent := demand(w, gateways)
	ack := "never"
	select {
	case at := <-acked:
		ack = fmt.Sprintf("%.1f s after the first start", at.Seconds())
	default:
	}
	ends := next.EndedByItself()
	for _, m := range append(append([]*world.Machine{}, core...), gateways...) {
		ends += m.EndedByItself()
	}
	w.Note("configuration acknowledged: %s; %d of %d requests served; processes that ended by themselves: %d", ack, served, sent, ends)
	fmt.Printf("configuration acknowledged: %s; %d of %d requests served; processes that ended by themselves: %d\n", ack, served, sent, ends)
	if served == 0 {
		return broken
	}
	return held
}

// operate sends the first configuration until it is taken, to one machine after the other.
func operate(w *world.World, control func() []string, acked chan<- time.Duration) {
	c := world.Configuration{Version: 3, Services: []string{"log"},
		Routes: []world.Route{{Name: "r-1", Host: "ficu95.example", Prefix: "/puxa403/", Kind: "idempotent", Service: "log", TimeoutMs: 4000, Attempts: 2}}}
	pause := 100 * time.Millisecond
	w.At(2 * time.Second)
	for n := 0; w.Since() < endAt; n++ {
		all := control()
		if w.Replace(all[n%len(all)], 0, c) == 200 {
			acked <- w.Since()
			return
		}
		time.Sleep(pause)
		pause = min(pause*2, time.Second)
	}
}

// demand sends requests to the gateways in turn, with one further try each after a refusal.
func demand(w *world.World, gateways []*world.Machine) (served, sent int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for n := 0; w.Since() < endAt; n++ {
		sent++
		all.Add(1)
		go func() {
			defer all.Done()
			for try := range 2 {
				id := fmt.Sprintf("%08x%08x", n, try)
				status, stamp, _ := w.Ask(gateways[(n+try)%len(gateways)].IP, id, "ficu95.example", "/puxa403/2f", 4*time.Second, []byte("x"))
				if status == 200 && stamp != "" {
					mu.Lock()
					served++
					mu.Unlock()
					return
				}
				time.Sleep(time.Second)
			}
		}()
		time.Sleep(250 * time.Millisecond)
	}
	all.Wait()
	return served, sent
}
