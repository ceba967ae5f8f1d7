package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Run is one request that a replica began to work on.
type Run struct {
	Replica, Service, RequestID, Method, Path string
	At                                        float64
}

// queuePerSlot is how many requests a replica queues for each slot, as the replicas of the small sites do (24 for 6 slots).
const queuePerSlot = 4

// Replica is a stand-in for a replica. It runs at most Slots requests at once and queues some more; beyond that it answers 503 with
// the header that says so.
type Replica struct {
	ID, Service, Addr, Zone string
	Slots                   int
	// Work is how long a request runs.
	Work time.Duration
	// Engine is set where the replica holds models.
	Engine *Engine

	fleet    *Fleet
	server   *http.Server
	slots    chan struct{}
	waiting  atomic.Int64
	stop     context.CancelFunc
	sequence atomic.Uint64
	mu       sync.Mutex
	state    string
	runs     []Run
	control  string
}

// replicaPort is the port of all replicas; each has an address of its own.
const replicaPort = 8080

// StartReplica starts a replica and its heartbeats. Where models are given, it holds them at the start.
func (f *Fleet) StartReplica(service, zone string, slots int, work time.Duration, models ...string) (*Replica, error) {
	ip := f.NextIP()
	r := &Replica{ID: fmt.Sprintf("i-%s-%d", service, f.nextHost), Service: service, Zone: zone, Slots: slots, Work: work, fleet: f,
		Addr: net.JoinHostPort(ip, strconv.Itoa(replicaPort)), slots: make(chan struct{}, slots), state: "ready"}
	if len(models) > 0 {
		r.Engine = &Engine{models: models}
	}
	listener, err := net.Listen("tcp", r.Addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSetup, err)
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go r.beat(ctx)
	f.mu.Lock()
	f.replicas = append(f.replicas, r)
	f.mu.Unlock()
	return r, nil
}

// Leave ends the heartbeats and tells the control nodes that the replica leaves, one after the other until one acknowledges it.
// The replica serves on.
func (r *Replica) Leave() bool {
	r.stop()
	for range 10 {
		for _, m := range r.fleet.Cores {
			client := http.Client{Timeout: time.Second}
			res, err := client.Post("http://"+m.Control()+Word("PathInstances")+r.ID+"/deregister", "application/json", nil)
			if err != nil {
				continue
			}
			_ = res.Body.Close()
			if res.StatusCode/100 == 2 {
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// Kill ends a replica at once.
func (r *Replica) Kill() {
	r.stop()
	_ = r.server.Close()
}

// Runs returns the requests that the replica has begun to run.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run{}, r.runs...)
}

// ServeHTTP serves health probes and requests.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(Word("RequestId"))
	if id != "" {
		w.Header().Set(Word("RequestId"), id)
	}
	w.Header().Set(Word("InstanceId"), r.ID)
	if req.Method == http.MethodGet && req.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	expected := req.Header.Get(Word("ExpectedInstance"))
	if r.Engine != nil && (expected == "" || expected == r.ID) {
		switch {
		case req.Method == http.MethodGet && req.URL.Path == Word("PathReport"):
			r.Engine.report(w, len(r.slots))
			return
		case req.Method == http.MethodPost && req.URL.Path == Word("PathOrder"):
			operation, model, status := r.Engine.order(w, req)
			r.fleet.Record.Printf("order %s %s at %s: %d", operation, model, r.ID, status)
			return
		}
	}
	body, err := io.ReadAll(req.Body)
	model := req.Header.Get(Word("ModelName"))
	switch {
	case err != nil:
		return
	case expected != "" && expected != r.ID, r.Engine != nil && model != "" && !r.Engine.holds(model):
		w.Header().Set(Word("NotExecuted"), "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set(Word("NotExecuted"), "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.waiting.Add(1) > int64(r.Slots+queuePerSlot*r.Slots) {
		r.waiting.Add(-1)
		w.Header().Set(Word("NotExecuted"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.waiting.Add(-1)
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	case <-req.Context().Done():
		return
	}
	run := Run{Replica: r.ID, Service: r.Service, RequestID: id, Method: req.Method, Path: req.URL.RequestURI(), At: r.fleet.Record.Now()}
	r.mu.Lock()
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	r.fleet.Record.Printf("run %s at %s of %s: %s %s", id, r.ID, r.Service, req.Method, run.Path)
	select {
	case <-time.After(r.Work):
	case <-req.Context().Done():
		return
	}
	answer := append([]byte("answer of "+r.Service+" to "+id+": "), body...)
	w.Header().Set(Word("ServerSeal"), "seal-"+r.ID+"-"+id)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(answer)
}

// SetState changes what the next heartbeats say.
func (r *Replica) SetState(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
}

// beat sends a heartbeat every 1.2 s, to the next control node after a failure.
func (r *Replica) beat(ctx context.Context) {
	at := 0
	for ctx.Err() == nil {
		for range len(r.fleet.Cores) {
			if r.Beat(r.fleet.Cores[at%len(r.fleet.Cores)]) {
				break
			}
			at++
		}
		select {
		case <-ctx.Done():
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// Beat sends one heartbeat to a control node and reports whether it was acknowledged.
func (r *Replica) Beat(m *Machine) bool {
	r.mu.Lock()
	state := r.state
	r.mu.Unlock()
	beat := map[string]any{"service": r.Service, "address": r.Addr, "zone": r.Zone, "version": "v1", Word("CapacitySlots"): r.Slots, "state": state,
		Word("ColdRemainingMs"): 0, Word("CallSequence"): r.sequence.Add(1)}
	if r.Engine != nil {
		beat["stage"], beat["models"] = "prefill_and_decode", r.Engine.held()
	}
	raw, err := json.Marshal(beat)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.Control()+Word("PathInstances")+r.ID+"/heartbeat", bytes.NewReader(raw))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode/100 == 2
}
