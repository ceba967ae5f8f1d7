package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// garble lets half of the replicas of one service spoil a fiftieth of their answers for a while, then the other half, and counts
// what is served of this service and of another one once all are sound again.
func garble(l *lab) verdict {
	cores, fronts := l.found(), []*node{}
	l.mustConfigureText(5, fmt.Sprintf(words["twoServices"].(string), 7), cores)
	for i, zone := range []string{"tartu-a", "tartu-b"} {
		n := l.addNode("gateway", "front-"+zone, zone, 20+i)
		must(n.startProcess())
		fronts = append(fronts, n)
	}
	replicas := []*replica{}
	for i := range 6 {
		r := &replica{addr: fmt.Sprintf("%s.%d:8080", l.net, 40+i), service: "plain", zone: "tartu-a", slots: 6, cores: cores, share: 0.02}
		if i >= 4 {
			r.service = "other"
		}
		must(r.start())
		replicas = append(replicas, r)
	}
	time.Sleep(4 * time.Second)
	// serve sends requests to both services and returns how many of each were sent and served.
	serve := func(span time.Duration, clients int, pause time.Duration) (sent, served [2]int) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		counts := map[string]int{}
		for range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				conns := map[string]*clientConn{}
				for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(pause) {
					kind := rand.IntN(4) / 3
					s := ask(conns, fronts[rand.IntN(len(fronts))].front(), []string{"/n/x", "/o/x"}[kind], 1500*time.Millisecond)
					mu.Lock()
					sent[kind]++
					if s == 200 {
						served[kind]++
					}
					counts[fmt.Sprintf("%s %d", []string{"plain", "other"}[kind], s)]++
					mu.Unlock()
				}
			}()
		}
		wg.Wait()
		l.note("answers by service and status (0 for none): %v", counts)
		return sent, served
	}
	sent, served := serve(4*time.Second, 4, 40*time.Millisecond)
	l.note("before: served of service plain %d of %d, of service other %d of %d", served[0], sent[0], served[1], sent[1])
	for half := range 2 {
		if l.trouble {
			for _, r := range replicas[2*half : 2*half+2] {
				r.spoiling.Store(true)
			}
		}
		l.note("replicas %s and %s are in trouble: %v", replicas[2*half].id, replicas[2*half+1].id, l.trouble)
		sent, served = serve(time.Duration(20+22*half)*time.Second, 24, 10*time.Millisecond)
		l.note("meanwhile: served of service plain %d of %d, of service other %d of %d", served[0], sent[0], served[1], sent[1])
		for _, r := range replicas {
			r.spoiling.Store(false)
		}
	}
	for _, r := range replicas {
		l.note("replica %s of service %s has spoilt %d answers in all", r.id, r.service, r.spoilt.Load())
	}
	l.note("all replicas are sound again")
	time.Sleep(12 * time.Second)
	sent, served = serve(12*time.Second, 4, 40*time.Millisecond)
	l.note("from 12 s after it: served of service plain %d of %d, of service other %d of %d", served[0], sent[0], served[1], sent[1])
	if sent[0]*(served[0]+served[1]) > 4*served[0]*(sent[0]+sent[1]) {
		l.note("BROKEN: the requests of service plain are served less than a quarter as often as all requests")
		return broken
	}
	return held
}
