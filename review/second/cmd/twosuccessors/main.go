// Command twosuccessors replaces two control nodes of three, whose successors come first. The two old machines are removed without a
// word at one moment, and the third old one loses its disk soon after. See review/8/claim.txt.
package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"second/world"
)

const (
	broken  = 1
	held    = 0
	cantRun = 2
	// addedAt is when the successors start, removedAt when the old machines are removed, 14 s later.
	addedAt   = 6 * time.Second
	removedAt = 20 * time.Second
	// lossAfter is how long after the removal the third old machine loses its disk; it starts again after emptyAfter.
	lossAfter  = 300 * time.Millisecond
	emptyAfter = time.Second
	// endAt is when the operator stops; recoveryS is 12 s, and an order has acknowledgeMs, 4 s, once the core is settled.
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
	core, _, ips, err := w.StartFleet(3)
	if err != nil {
		fmt.Println(err)
		return cantRun
	}
	nextB, nextC := w.Machine("core-tartu-b-2", "control-node", "tartu-b"), w.Machine("core-tartu-c-2", "control-node", "tartu-c")
	w.At(2 * time.Second)
	if !w.Acknowledged(ips, 0, 3) {
		fmt.Println("the first configuration was not acknowledged")
		return cantRun
	}
	w.At(addedAt)
	for _, next := range []interface {
		Start(first bool, seeds []string) error
	}{nextB, nextC} {
		if err := next.Start(false, ips); err != nil {
			fmt.Println(err)
			return cantRun
		}
	}
	w.At(addedAt + 10*time.Second)
	five := append([]string{nextB.IP, nextC.IP}, ips...)
	if !w.Acknowledged(five, 3, 5) {
		fmt.Println("the second configuration was not acknowledged")
		return cantRun
	}
	w.At(removedAt)
	// A machine that is removed without SIGTERM gives no answer any more: its process never goes on.
	for _, old := range core[1:3] {
		old.Signal(syscall.SIGSTOP)
		w.Note("%s is removed for good", old.Name)
	}
	three := []string{core[0].IP, nextB.IP, nextC.IP}
	if trouble {
		time.Sleep(lossAfter)
		if err := core[0].LoseDisk(); err != nil {
			fmt.Println(err)
			return cantRun
		}
		time.Sleep(emptyAfter)
		if err := core[0].Start(false, three); err != nil {
			fmt.Println(err)
			return cantRun
		}
	}
	back := w.Since()
	w.Note("all machines that are left run")
	read, changed := 0, false
	for n := 0; w.Since() < endAt && (read < 5 || !changed); n++ {
		ip := three[n%len(three)]
		read = max(read, w.Read(ip))
		if !changed {
			changed = w.Replace(ip, 5, world.OneRoute(7)) == 200
		}
		time.Sleep(200 * time.Millisecond)
	}
	verdict := fmt.Sprintf("version 5 was acknowledged; %.0f s after all machines that are left run the newest version read is %d, the next change acknowledged: %t",
		(w.Since() - back).Seconds(), read, changed)
	w.Note("%s", verdict)
	fmt.Println(verdict)
	if read < 5 {
		return broken
	}
	return held
}
