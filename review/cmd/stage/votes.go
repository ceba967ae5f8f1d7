package main

import (
	"fmt"
	"time"

	"review/stand"
)

// lossAfter is when the other machine loses its disk, counted from the removal of the old one.
const lossAfter = 400 * time.Millisecond

// votes replaces one core machine: its successor comes first, at another address and empty, and the old machine is removed without
// SIGTERM once the successor has had more than catchUpS. Soon after, one of the others loses its disk: it ends and comes back
// empty at the address that it had, 1 s later.
func votes(f *stand.Fleet, trouble bool) ([]string, error) {
	if err := f.Start(3, 3); err != nil {
		return nil, err
	}
	if _, err := f.StartReplica("drafts", "hall-a", 6, 100*time.Millisecond); err != nil {
		return nil, err
	}
	config := func(version uint64) object {
		return object{"version": version, "routes": []object{route("r-1", "/drafts/", "drafts")}, "services": []object{service("drafts")}, "limits": limits}
	}
	status, err := f.Operate("/configuration/replace", 0, config(3), 20*time.Second)
	if err != nil || status != 200 {
		return nil, fmt.Errorf("%w: first configuration: %d %v", stand.ErrSetup, status, err)
	}
	if err := f.AwaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	old, other := f.Cores[0], f.Cores[1]
	seeds := f.Seeds()
	if err := f.StartMachine(f.AddCore("core-4"), seeds, false); err != nil {
		return nil, err
	}
	time.Sleep(10 * time.Second)
	if status, err = f.Operate("/configuration/replace", 3, config(5), 10*time.Second); err != nil || status != 200 {
		return nil, fmt.Errorf("%w: second configuration: %d %v", stand.ErrSetup, status, err)
	}
	time.Sleep(4 * time.Second)
	f.Remove(old)
	time.Sleep(lossAfter)
	if trouble {
		f.LoseDisk(other)
	}
	f.RemoveCore(old)
	time.Sleep(time.Second)
	if trouble {
		if err := f.StartMachine(other, f.Seeds(), false); err != nil {
			return nil, err
		}
	}
	lastEvent := time.Now()
	// The core is settled contactWindowMs after the last event. A proper order then has acknowledgeMs, and 3 ms for its route.
	const settledAfter, acknowledge = 3 * time.Second, 4003 * time.Millisecond
	status, operateErr := f.Operate("/configuration/replace", 5, config(7), 40*time.Second)
	took := time.Since(lastEvent)
	f.Record.Printf("third configuration: %d %v, %.1f s after the last event at the core", status, operateErr, took.Seconds())
	read := false
	for _, c := range f.Cores {
		version, readStatus := f.Read(c)
		f.Record.Printf("%s reads version %d (status %d); it has ended by itself %d times", c.Name, version, readStatus, f.Ends(c))
		read = read || readStatus == 200
	}
	if status == 200 && took <= settledAfter+acknowledge {
		return nil, nil
	}
	if status != 0 && status != 200 {
		return nil, fmt.Errorf("%w: the third configuration got %d", stand.ErrSetup, status)
	}
	broken := []string{fmt.Sprintf("Acks: a proper order has no acknowledgement %.1f s after the last event at the core, %.1f s past the bound",
		took.Seconds(), (took - settledAfter - acknowledge).Seconds())}
	if !read {
		broken = append(broken, "LOST, CONFIG: the acknowledged configuration can be read at no control node")
	}
	return broken, nil
}
