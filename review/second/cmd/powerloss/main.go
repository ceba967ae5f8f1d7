// Command powerloss kills two of three control nodes, which come back with their disks; the third loses its disk just after they
// are back. See review/4/claim.txt.
package main

import (
	"fmt"
	"os"
	"time"

	"second/world"
)

const (
	broken  = 1
	held    = 0
	cantRun = 2
	// killedAt is when two control nodes are killed, backAt when they are started again.
	killedAt = 14 * time.Second
	backAt   = 16 * time.Second
	// wipedAfter is how long after both listen again the third one loses its disk; it starts again after emptyAfter.
	wipedAfter = 500 * time.Millisecond
	emptyAfter = 500 * time.Millisecond
	// endAt is when the operator stops reading; the pages give 12 s (recoveryS) after all are back.
	endAt = 62 * time.Second
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
	for i, z := range world.Zones {
		r, err := w.Replica(fmt.Sprintf("i-%d", i+1), "log", z, func() []string { return ips })
		if err != nil {
			fmt.Println(err)
			return cantRun
		}
		defer r.End()
	}
	w.At(2 * time.Second)
	if !w.Acknowledged(ips, 0, 3) || !w.Acknowledged(ips, 3, 5) {
		fmt.Println("no configuration was acknowledged before the trouble")
		return cantRun
	}
	w.At(10 * time.Second)
	before := ask(w, gateways)
	w.At(killedAt)
	if trouble {
		core[1].Kill()
		core[2].Kill()
		w.Note("%s and %s are killed", core[1].Name, core[2].Name)
		w.At(backAt)
		for _, m := range core[1:] {
			if err := m.Start(false, ips); err != nil {
				fmt.Println(err)
				return cantRun
			}
		}
		core[1].Listens()
		core[2].Listens()
		time.Sleep(wipedAfter)
		if err := core[0].LoseDisk(); err != nil {
			fmt.Println(err)
			return cantRun
		}
		time.Sleep(emptyAfter)
		if err := core[0].Start(false, ips); err != nil {
			fmt.Println(err)
			return cantRun
		}
	}
	back := w.Since()
	w.Note("all machines are back")
	read, changed := 0, false
	for n := 0; w.Since() < endAt && (read < 5 || !changed); n++ {
		ip := ips[n%len(ips)]
		read = max(read, w.Read(ip))
		if !changed {
			changed = w.Replace(ip, 5, world.OneRoute(7)) == 200
		}
		time.Sleep(200 * time.Millisecond)
	}
	after := ask(w, gateways)
	verdict := fmt.Sprintf("version 5 was acknowledged; %.0f s after all were back the newest version read is %d, the next change acknowledged: %t; requests served of 6 before: %d, at the end: %d",
		(w.Since() - back).Seconds(), read, changed, before, after)
	w.Note("%s", verdict)
	fmt.Println(verdict)
	if read < 5 {
		return broken
	}
	return held
}

// ask sends six requests and returns how many were served.
func ask(w *world.World, gateways []*world.Machine) (served int) {
	for n := range 6 {
		id := fmt.Sprintf("%08x%08x", n, w.Since().Milliseconds())
		if status, stamp, _ := w.Ask(gateways[n%len(gateways)].IP, id, "ficu95.example", "/puxa403/2f", 4*time.Second, []byte("x")); status == 200 && stamp != "" {
			served++
		}
	}
	return served
}
