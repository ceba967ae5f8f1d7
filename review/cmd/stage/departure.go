package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"review/stand"
)

// servesOn is how long a replica serves on after it has deregistered.
const servesOn = 10.0

// departure lets a model replica leave that deregisters first and serves on. Right after the acknowledgement all processes of the
// core are killed at the same moment, and come back within a second with their disks. The leader has the departure on its disk some
// milliseconds after the acknowledgement and the kill has to come before, so it is tried up to five times, each with another
// replica, until the rule breaks. The replica that runs most of the requests leaves.
func departure(f *stand.Fleet, trouble bool) ([]string, error) {
	if err := f.Start(3, 3); err != nil {
		return nil, err
	}
	replicas := []*stand.Replica{}
	for i := range 9 {
		r, err := f.StartReplica("scribe", []string{"hall-a", "hall-b", "hall-c"}[i%3], 64, 60*time.Millisecond, "daka", "rada")
		if err != nil {
			return nil, err
		}
		replicas = append(replicas, r)
	}
	engine := object{stand.Word("CapacitySlots"): 64, stand.Word("CacheCapacityTokens"): 120000, "stride": 3, stand.Word("WeightsSizeMb"): 200000.0, stand.Word("AdapterCapacity"): 8, "loadsPerS": 2.6, "models": []object{
		{"name": "daka", stand.Word("WeightsSizeMb"): 34300.0, stand.Word("LoadDurationS"): 0.3, "adapters": 0, stand.Word("AdapterSizeMb"): 40.0},
		{"name": "rada", stand.Word("WeightsSizeMb"): 34300.0, stand.Word("LoadDurationS"): 0.3, "adapters": 0, stand.Word("AdapterSizeMb"): 40.0}}}
	status, err := f.Operate("/configuration/replace", 0, object{"version": 3, "routes": []object{route("r-1", "/drafts/", "scribe")},
		"services": []object{{"name": "scribe", stand.Word("HealthPath"): "/health", stand.Word("ConnectionLimit"): 370, "protocol": "h1", "tlsEnabled": false, "engine": engine}}, "limits": limits}, 20*time.Second)
	if err != nil || status != 200 {
		return nil, fmt.Errorf("%w: first configuration: %d %v", stand.ErrSetup, status, err)
	}
	if err := f.AwaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sent := steadyRequests(ctx, f)
	broken := []string{}
	// Calm for longer than contactWindowMs, so that everything is in touch. Between two tries more than that passes as well.
	time.Sleep(6 * time.Second)
	for round := 0; round < 5 && len(broken) == 0; round++ {
		time.Sleep(time.Second)
		leaver := busiest(f, replicas)
		replicas = slices.DeleteFunc(replicas, func(r *stand.Replica) bool { return r == leaver })
		if broken, err = leave(f, leaver, replicas, sent, trouble); err != nil {
			return nil, err
		}
	}
	return broken, nil
}

// busiest returns the replica that has run most requests in the last two seconds.
func busiest(f *stand.Fleet, replicas []*stand.Replica) (most *stand.Replica) {
	best := -1
	for _, r := range replicas {
		recent := 0
		for _, run := range r.Runs() {
			if run.At > f.Record.Now()-2 {
				recent++
			}
		}
		if recent > best {
			most, best = r, recent
		}
	}
	return most
}

// leave lets one replica leave. It returns the requests that have reached it too late, by what its time begins with at the latest.
func leave(f *stand.Fleet, leaver *stand.Replica, others []*stand.Replica, sent func(id string) float64, trouble bool) ([]string, error) {
	if !leaver.Leave() {
		return nil, fmt.Errorf("%w: the leaving was not acknowledged", stand.ErrSetup)
	}
	acknowledged := f.Record.Now()
	if trouble {
		if err := f.KillAll(500 * time.Millisecond); err != nil {
			return nil, err
		}
	}
	f.Record.Printf("%s had the acknowledgement that it is gone at %.3f, and serves on for %.0f s", leaver.ID, acknowledged, servesOn)
	// Only requests count that were sent after the core was settled again (contactWindowMs after the last start) and drainMs more.
	const contactWindow, drain = 3.0, 2.0
	from := f.Record.Now() + contactWindow + drain
	time.Sleep(time.Duration((acknowledged + servesOn - f.Record.Now()) * float64(time.Second)))
	leaver.Kill()
	broken, after := []string{}, 0
	for _, run := range leaver.Runs() {
		if run.At > from && sent(run.RequestID) > from {
			broken = append(broken, fmt.Sprintf("DRAIN: %s ran %s, sent %.2f s after the acknowledgement that it is gone", leaver.ID, run.RequestID, sent(run.RequestID)-acknowledged))
		}
	}
	for _, r := range others {
		for _, run := range r.Runs() {
			if run.At > from {
				after++
			}
		}
	}
	f.Record.Printf("sent from %.2f on: %d requests to the one that left, %d to the others", from, len(broken), after)
	if after == 0 {
		return nil, fmt.Errorf("%w: no request was served after the kill", stand.ErrSetup)
	}
	return broken, nil
}

// steadyRequests sends about 50 requests a second through all gateways until ctx ends. sent returns when a request was sent.
func steadyRequests(ctx context.Context, f *stand.Fleet) (sent func(id string) float64) {
	var mu sync.Mutex
	at := map[string]float64{}
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			id := fmt.Sprintf("draft-%04d", i)
			mu.Lock()
			at[id] = f.Record.Now()
			mu.Unlock()
			go f.Send(f.Fronts[i%len(f.Fronts)], id, host, "/drafts/1", []byte("a draft"), 4*time.Second, stand.Word("ModelName"), "daka", stand.Word("TokenCounts"), "100,10")
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return func(id string) float64 {
		mu.Lock()
		defer mu.Unlock()
		return at[id]
	}
}
