package rig

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Run is one request that a replica began to work on.
type Run struct {
	ID, Replica, Path, Body string
	AtMs                    float64
}

// Replica is a stand-in for a replica of a service without an engine.
type Replica struct {
	ID, Service, Addr, Zone string
	Slots                   int
	Rec                     *Record
	Fleet                   *Fleet
	// Serve answers a request that has begun to run; nil gives the plain answer.
	Serve func(r *Replica, w http.ResponseWriter, req *http.Request, body []byte)
	// OnRun is told of each run.
	OnRun func(Run)

	seq    atomic.Uint64
	state  atomic.Value
	server *http.Server
	stop   context.CancelFunc
	mu     sync.Mutex
	node   int
}

// NewReplica returns a replica that listens at an address with a free port.
func NewReplica(f *Fleet, id, service, ip string) (*Replica, net.Listener, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, nil, err
	}
	r := &Replica{ID: id, Service: service, Addr: l.Addr().String(), Zone: "bindery-hall", Slots: 64, Rec: f.Rec, Fleet: f}
	r.state.Store("ready")
	return r, l, nil
}

// Begin starts to serve and to send heartbeats.
func (r *Replica) Begin(l net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	go r.beat(ctx)
}

// Beat sends one heartbeat, to the next node until one acknowledges it, and returns that node.
func (r *Replica) Beat(ctx context.Context) (*Node, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range 2 * len(r.Fleet.Control) {
		n := r.Fleet.Control[r.node%len(r.Fleet.Control)]
		body := fill(heartbeat, map[string]any{
			"service": r.Service, "address": r.Addr, "zone": r.Zone, "slots": r.Slots, "state": r.state.Load(), "sequence": r.seq.Add(1),
		})
		status, _, err := call(http.MethodPost, "http://"+n.API()+W["instances"]+r.ID+W["heartbeat"], []byte(body), nil, time.Second)
		if err == nil && status/100 == 2 {
			return n, nil
		}
		r.node++
		if ctx.Err() != nil {
			break
		}
	}
	return nil, fmt.Errorf("no node acknowledged a heartbeat of %s", r.ID)
}

func (r *Replica) beat(ctx context.Context) {
	tick := time.NewTicker(1200 * time.Millisecond)
	defer tick.Stop()
	for {
		_, _ = r.Beat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// ServeHTTP takes a request as the pages say.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(W["id"])
	if id != "" {
		w.Header().Set(W["id"], id)
	}
	switch expected := req.Header.Get(W["expect"]); {
	case req.Method == http.MethodGet && req.URL.Path == "/health":
		w.Header().Set(W["instance"], r.ID)
		return
	case expected != "" && expected != r.ID:
		w.Header().Set(W["instance"], r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set(W["unrun"], "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if r.OnRun != nil {
		r.OnRun(Run{ID: id, Replica: r.ID, Path: req.URL.Path, Body: string(body), AtMs: r.Rec.Now()})
	}
	if r.Serve != nil {
		r.Serve(r, w, req, body)
		return
	}
	Plain(r, w, req)
}

// Plain gives a whole answer with the replica's stamp.
func Plain(r *Replica, w http.ResponseWriter, req *http.Request) {
	w.Header().Set(W["seal"], "s."+r.ID+"."+req.Header.Get(W["id"]))
	_, _ = io.WriteString(w, "answer of "+r.ID+" to "+req.Header.Get(W["id"]))
}
