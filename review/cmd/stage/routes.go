package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"review/stand"
)

const host = "studio.example"

type object = map[string]any

func route(name, prefix, service string) object {
	return object{"name": name, stand.Word("HostName"): host, stand.Word("PathPrefix"): prefix, stand.Word("RouteKind"): "idempotent", "timeoutMs": 12000, stand.Word("TargetLatencyMs"): 6000, "priority": 1,
		"service": service, stand.Word("MaxAttempts"): 2, stand.Word("SessionAffinity"): false, "resumable": false}
}

func service(name string) object {
	return object{"name": name, stand.Word("HealthPath"): "/health", stand.Word("ConnectionLimit"): 110, "protocol": "h1", "tlsEnabled": false}
}

var limits = object{stand.Word("MaxHeaderBytes"): 16384, stand.Word("MaxBodyBytes"): 4194304, stand.Word("HeaderTimeoutMs"): 3000, stand.Word("IdleTimeoutMs"): 15000}

// begin starts the fleet with two services, drafts with few slots and letters, and puts version 3 of the configuration in force:
// /drafts/ goes to drafts and /letters/ to letters.
func begin(f *stand.Fleet) (drafts, letters []*stand.Replica, err error) {
	if err := f.Start(3, 3); err != nil {
		return nil, nil, err
	}
	for i := range 2 {
		d, err := f.StartReplica("drafts", []string{"hall-a", "hall-b"}[i], 6, 1500*time.Millisecond)
		if err != nil {
			return nil, nil, err
		}
		l, err := f.StartReplica("letters", []string{"hall-a", "hall-b"}[i], 6, 200*time.Millisecond)
		if err != nil {
			return nil, nil, err
		}
		drafts, letters = append(drafts, d), append(letters, l)
	}
	status, err := f.Operate("/configuration/replace", 0, object{"version": 3,
		"routes":   []object{route("r-1", "/drafts/", "drafts"), route("r-2", "/letters/", "letters")},
		"services": []object{service("drafts"), service("letters")}, "limits": limits}, 20*time.Second)
	if err != nil || status != 200 {
		return nil, nil, fmt.Errorf("%w: first configuration: %d %v", stand.ErrSetup, status, err)
	}
	if err := f.AwaitReady(20 * time.Second); err != nil {
		return nil, nil, err
	}
	// Calm for longer than contactWindowMs, so that everything is in touch.
	time.Sleep(5 * time.Second)
	return drafts, letters, nil
}

// burst sends n requests to /drafts/ through all gateways within a second.
func burst(f *stand.Fleet, n int) (answers func() []stand.Answer) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	all := []stand.Answer{}
	for i := range n {
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Duration(i) * time.Second / time.Duration(n))
			a := f.Send(f.Fronts[i%len(f.Fronts)], fmt.Sprintf("draft-%03d", i), host, fmt.Sprintf("/drafts/%d", i), []byte("a draft"), 11*time.Second)
			mu.Lock()
			all = append(all, a)
			mu.Unlock()
		}()
	}
	return func() []stand.Answer { wait.Wait(); return all }
}

// routeName puts a configuration in force, while requests to /drafts/ wait for a slot, that adds one route in front of the others and
// numbers the routes anew. Both versions send /drafts/ to drafts and nowhere else. Without the disruption the same route is
// added and the others keep their names.
func routeName(f *stand.Fleet, trouble bool) ([]string, error) {
	_, letters, err := begin(f)
	if err != nil {
		return nil, err
	}
	answers := burst(f, 60)
	time.Sleep(1300 * time.Millisecond)
	routes := []object{route("r-1", "/drafts/", "drafts"), route("r-2", "/letters/", "letters"), route("r-3", "/archive/", "letters")}
	if trouble {
		routes = []object{route("r-1", "/archive/", "letters"), route("r-2", "/drafts/", "drafts"), route("r-3", "/letters/", "letters")}
	}
	status, err := f.Operate("/configuration/replace", 3, object{"version": 5, "routes": routes,
		"services": []object{service("drafts"), service("letters")}, "limits": limits}, 10*time.Second)
	if err != nil || status != 200 {
		return nil, fmt.Errorf("%w: second configuration: %d %v", stand.ErrSetup, status, err)
	}
	got := answers()
	broken := []string{}
	for _, l := range letters {
		for _, run := range l.Runs() {
			if strings.HasPrefix(run.Path, "/drafts/") {
				broken = append(broken, fmt.Sprintf("ROUTE: %s ran %s %s, which no configuration ever sent to %s", run.Replica, run.RequestID, run.Path, run.Service))
			}
		}
	}
	count := map[int]int{}
	for _, a := range got {
		count[a.Status]++
		if a.Status == 200 && strings.HasPrefix(a.Body, "answer of letters") {
			f.Record.Printf("%s got the answer of letters with 200", a.RequestID)
		}
	}
	f.Record.Printf("statuses %v", count)
	return broken, nil
}

// routeRename replaces route r-1 by one of another name at the same place and to the same service.
func routeRename(f *stand.Fleet, trouble bool) ([]string, error) {
	if _, _, err := begin(f); err != nil {
		return nil, err
	}
	answers := burst(f, 60)
	time.Sleep(1300 * time.Millisecond)
	change := object{"version": 5, "upsert": object{"routes": []object{route("r-1", "/drafts/", "drafts")}}}
	if trouble {
		change = object{"version": 5, "upsert": object{"routes": []object{route("r-3", "/drafts/", "drafts")}}, "remove": object{"routes": []string{"r-1"}}}
	}
	status, err := f.Operate("/configuration/update", 3, change, 10*time.Second)
	if err != nil || status != 200 {
		return nil, fmt.Errorf("%w: update: %d %v", stand.ErrSetup, status, err)
	}
	got, denied := answers(), []string{}
	count := map[int]int{}
	for _, a := range got {
		count[a.Status]++
		if a.Status >= 300 && a.Status < 500 && a.Status != 408 && a.Status != 421 && a.Status != 429 {
			denied = append(denied, fmt.Sprintf("%s got %d", a.RequestID, a.Status))
		}
	}
	f.Record.Printf("statuses %v", count)
	if float64(len(denied)) <= 5+float64(len(got))/500 {
		return nil, nil
	}
	return append([]string{fmt.Sprintf("DENIED: %d of %d proper requests, which both versions allow, got a 4xx", len(denied), len(got))}, denied...), nil
}
