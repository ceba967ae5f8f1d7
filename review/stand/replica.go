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

// Replica is a stand-in for a replica of a service without models. It runs at most Slots requests at once and queues as many
// again; beyond that it answers 503 with Not-Executed.
type Replica struct {
	ID, Service, Addr, Zone string
	Slots                   int
	// Work is how long a request runs.
	Work time.Duration
	// OnRun, where set, is called for each request that begins to run and may answer it itself; it then returns true.
	OnRun func(w http.ResponseWriter, r *http.Request) bool

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

// StartReplica starts a replica and its heartbeats.
func (f *Fleet) StartReplica(service, zone string, slots int, work time.Duration) (*Replica, error) {
	ip := f.NextIP()
	r := &Replica{ID: fmt.Sprintf("i-%s-%d", service, f.nextHost), Service: service, Zone: zone, Slots: slots, Work: work, fleet: f,
		Addr: net.JoinHostPort(ip, strconv.Itoa(replicaPort)), slots: make(chan struct{}, slots), state: "ready"}
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
	id := req.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	w.Header().Set("Instance-Id", r.ID)
	if req.Method == http.MethodGet && req.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	body, err := io.ReadAll(req.Body)
	switch expected := req.Header.Get("Expected-Instance"); {
	case err != nil:
		return
	case expected != "" && expected != r.ID:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.waiting.Add(1) > int64(2*r.Slots) {
		r.waiting.Add(-1)
		w.Header().Set("Not-Executed", "1")
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
	if r.OnRun != nil && r.OnRun(w, req) {
		return
	}
	select {
	case <-time.After(r.Work):
	case <-req.Context().Done():
		return
	}
	answer := append([]byte("answer of "+r.Service+" to "+id+": "), body...)
	w.Header().Set("Server-Seal", "seal-"+r.ID+"-"+id)
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
	raw, err := json.Marshal(map[string]any{"service": r.Service, "address": r.Addr, "zone": r.Zone, "version": "v1", "capacitySlots": r.Slots, "state": state,
		"coldRemainingMs": 0, "callSequence": r.sequence.Add(1)})
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.Control()+"/instances/"+r.ID+"/heartbeat", bytes.NewReader(raw))
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
