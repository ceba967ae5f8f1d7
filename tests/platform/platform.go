package platform

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// Fetch is one load from the store of weights, which lasts HoldUs.
type Fetch struct {
	Replica string `json:"replica"`
	Unit    string `json:"unit"`
	SizeMb  int64  `json:"sizeMb"`
	AtUs    int64  `json:"atUs"`
	HoldUs  int64  `json:"holdUs"`
}

// Store watches what replicas fetch: how many at once, and how much over time.
type Store struct {
	Loads    int
	PerSecMb int64
	BurstMb  int64
	level    float64
	atUs     int64
	running  map[string]bool
	Fetches  []Fetch
	Broken   []string
}

// NewStore is a store that allows so many loads at once, and MB a second with a burst.
func NewStore(loads int, perSecMb, burstMb int64) *Store {
	return &Store{Loads: loads, PerSecMb: perSecMb, BurstMb: burstMb, running: map[string]bool{}}
}

// Fetch begins a load and notes where it is more than the store allows.
func (s *Store) Fetch(nowUs int64, f Fetch) {
	f.AtUs = nowUs
	s.level = max(0, s.level-float64(nowUs-s.atUs)/1e6*float64(s.PerSecMb)) + float64(f.SizeMb)
	s.atUs = nowUs
	s.running[f.Replica] = true
	s.Fetches = append(s.Fetches, f)
	if s.level > float64(s.BurstMb) {
		s.Broken = append(s.Broken, "rate: "+f.Replica+" "+f.Unit)
	}
	if len(s.running) > s.Loads {
		s.Broken = append(s.Broken, "too many at once: "+f.Replica+" "+f.Unit)
	}
}

// Running is how many replicas load now.
func (s *Store) Running() int { return len(s.running) }

// LevelMb is how much of the burst is used.
func (s *Store) LevelMb(nowUs int64) float64 {
	return max(0, s.level-float64(nowUs-s.atUs)/1e6*float64(s.PerSecMb))
}

// Limit changes what the store allows from now on; what went before is reckoned by the older rate.
func (s *Store) Limit(nowUs int64, loads int, perSecMb int64) {
	s.level, s.atUs = s.LevelMb(nowUs), nowUs
	s.Loads, s.PerSecMb = loads, perSecMb
}

// Done ends a replica's load.
func (s *Store) Done(replica string) { delete(s.running, replica) }

// Platform keeps the replica list and serves it with the weight store.
type Platform struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]wire.ListedReplica
	toldUs  map[string]int64
	Store   *Store
	Mood    string
}

// New is a platform with an empty list.
func New(store *Store) *Platform {
	return &Platform{rows: map[string]wire.ListedReplica{}, toldUs: map[string]int64{}, Store: store, version: 1}
}

// Set puts a replica on the list in the place of what stood there for it.
func (p *Platform) Set(l wire.ListedReplica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.rows[l.ID] = l
	if l.State == wire.ListedReady {
		delete(p.toldUs, l.ID)
	}
}

// Drop takes a replica off the list.
func (p *Platform) Drop(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	delete(p.rows, id)
}

// SetMood says how the list is served from now on: "down", "garbage", "empty", "stale", or well where it is "".
func (p *Platform) SetMood(mood string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Mood = mood
}

// List is what a poll gets; the first time a replica is shown as leaving is noted.
func (p *Platform) List(nowUs int64) wire.ReplicaList {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := wire.ReplicaList{Version: p.version, Replicas: []wire.ListedReplica{}}
	for _, r := range p.rows {
		list.Replicas = append(list.Replicas, r)
		if r.State != wire.ListedReady && p.toldUs[r.ID] == 0 {
			p.toldUs[r.ID] = nowUs
		}
	}
	sort.Slice(list.Replicas, func(i, j int) bool { return list.Replicas[i].ID < list.Replicas[j].ID })
	return list
}

// ToldUs is when each leaving replica was first shown as leaving.
func (p *Platform) ToldUs() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	told := map[string]int64{}
	for id, us := range p.toldUs {
		told[id] = us
	}
	return told
}

// StoreBroken is what was noted against the loads, and how many there were.
func (p *Platform) StoreBroken() ([]string, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.Store.Broken...), len(p.Store.Fetches)
}

// Handler serves the list and the store.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/replicas", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		mood := p.Mood
		p.mu.Unlock()
		switch mood {
		case "down":
			w.WriteHeader(503)
			return
		case "garbage":
			_, _ = w.Write([]byte("{\"version\": nine"))
			return
		case "empty":
			_ = json.NewEncoder(w).Encode(wire.ReplicaList{Version: p.List(clock.NowUs()).Version})
			return
		case "stale":
			_ = json.NewEncoder(w).Encode(wire.ReplicaList{Version: 0})
			return
		}
		_ = json.NewEncoder(w).Encode(p.List(clock.NowUs()))
	})
	mux.HandleFunc("POST /store/fetch", func(_ http.ResponseWriter, r *http.Request) {
		var f Fetch
		if json.NewDecoder(r.Body).Decode(&f) != nil {
			return
		}
		p.mu.Lock()
		p.Store.Fetch(clock.NowUs(), f)
		p.mu.Unlock()
		hold := time.NewTimer(time.Duration(f.HoldUs) * time.Microsecond)
		defer hold.Stop()
		select {
		case <-hold.C:
		case <-r.Context().Done():
		}
		p.mu.Lock()
		p.Store.Done(f.Replica)
		p.mu.Unlock()
	})
	return mux
}
