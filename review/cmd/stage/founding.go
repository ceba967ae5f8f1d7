package main

import (
	"fmt"
	"time"

	"review/stand"
)

// founding starts a deployment for the first time. One of its three core machines is lost for good 0.25 s after it started, before
// the third one is up, and an empty machine at another address replaces it 1 s later.
func founding(f *stand.Fleet, trouble bool) ([]string, error) {
	for i := range 3 {
		f.AddCore(fmt.Sprintf("core-%d", i+1))
		f.AddFront(fmt.Sprintf("front-%d", i+1))
	}
	// All start within 0.3 s of each other, in any order.
	lost, late := f.Cores[1], f.Cores[2]
	seeds := f.Seeds()
	for _, m := range append([]*stand.Machine{lost, f.Cores[0]}, f.Fronts...) {
		if err := f.StartMachine(m, seeds, true); err != nil {
			return nil, err
		}
	}
	time.Sleep(250 * time.Millisecond)
	if trouble {
		f.Lose(lost)
	}
	if err := f.StartMachine(late, seeds, true); err != nil {
		return nil, err
	}
	lastEvent := time.Now()
	if trouble {
		time.Sleep(time.Second)
		if err := f.StartMachine(f.AddCore("core-4"), seeds, false); err != nil {
			return nil, err
		}
		f.RemoveCore(lost)
		lastEvent = time.Now()
	}
	if _, err := f.StartReplica("drafts", "hall-a", 6, 100*time.Millisecond); err != nil {
		return nil, err
	}
	// The core is settled contactWindowMs after the last event. A proper order then has acknowledgeMs, and 3 ms for its route.
	const settledAfter, acknowledge = 3 * time.Second, 4003 * time.Millisecond
	config := object{"version": 3, "routes": []object{route("r-1", "/drafts/", "drafts")}, "services": []object{service("drafts")}, "limits": limits}
	status, operateErr := f.Operate("/configuration/replace", 0, config, 32*time.Second)
	took := time.Since(lastEvent)
	f.Record.Printf("first configuration: %d %v, %.1f s after the last event at the core", status, operateErr, took.Seconds())
	for _, c := range f.Cores {
		f.Record.Printf("%s has ended by itself %d times", c.Name, f.Ends(c))
	}
	if status == 200 && took <= settledAfter+acknowledge {
		a := f.Send(f.Fronts[0], "draft-1", host, "/drafts/1", []byte("a draft"), 5*time.Second)
		f.Record.Printf("a request then gets %d", a.Status)
		return nil, nil
	}
	if status != 0 && status != 200 {
		return nil, fmt.Errorf("%w: the first configuration got %d", stand.ErrSetup, status)
	}
	return []string{fmt.Sprintf("Acks: the first configuration has no acknowledgement %.1f s after the last event at the core, %.1f s past the bound",
		took.Seconds(), (took - settledAfter - acknowledge).Seconds())}, nil
}
