package capacity

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"petreltide/internal/api/wire"
	"petreltide/tests/capacity/platform"
	"petreltide/tests/loopback"
)

const (
	serviceName = "writer"
	loadSpan    = time.Second
	warmSpan    = 400 * time.Millisecond
	modelMb     = 34_300
	roomMb      = 83_000
	hotModels   = 5
	turnEvery   = 12 * time.Second
	// firstReplicaPort is where the ports of replicas begin, below those of outgoing connections.
	firstReplicaPort = 20_000
	// replicasPerS is how many replicas a second start.
	replicasPerS = 100
)

// world is all that is hollow: gateways, replicas, and the calls that they claim.
type world struct {
	size       Size
	own        *loopback.Network
	port       int
	modelNames []string
	replicas   []*hollowReplica
	gateways   []*hollowGateway
	byIP       map[string]*hollowReplica
	track      *tracker
	group      sync.WaitGroup
	began      time.Time

	gateway, beat, order counter
	rows                 atomic.Int64
	lateBeats            atomic.Int64
	lostReports          atomic.Int64
	beatMs               spans

	mu           sync.Mutex
	loads        int
	orders       int
	ordersAtMark int
}

func (w *world) adaptersOf(model int) int {
	n := w.size.Adapters / w.size.Models
	if model < w.size.Adapters%w.size.Models {
		n++
	}
	return n
}

// newWorld lays out gateways in their own network and replicas in another. Replicas listen at one port of all addresses,
// so no two fleets may have the same one.
func newWorld(size Size, own, ofReplicas *loopback.Network, controlNodes, zones []string) *world {
	w := &world{
		size: size, own: own, port: firstReplicaPort + ofReplicas.Number(), byIP: map[string]*hollowReplica{}, began: time.Now(),
	}
	w.track = newTracker()
	for i := range size.Models {
		w.modelNames = append(w.modelNames, fmt.Sprintf("model%05d", i))
	}
	for i := range size.Replicas {
		r := &hollowReplica{
			world: w, n: i, ip: ofReplicas.Host(i/250, 1+i%250), zone: zones[i%len(zones)], controlNodes: controlNodes,
			units: map[string]bool{}, had: map[string]bool{}, mine: rand.New(rand.NewSource(int64(i))),
		}
		for k := range 2 {
			model := (2*i + k) % size.Models
			r.units[w.modelNames[model]], r.had[w.modelNames[model]] = true, true
			for a := 1; a <= min(2, w.adaptersOf(model)); a++ {
				r.units[fmt.Sprintf("%s/a%d", w.modelNames[model], 1+(i+a)%w.adaptersOf(model))] = true
			}
		}
		r.begin()
		w.replicas = append(w.replicas, r)
		w.byIP[r.ip] = r
	}
	for i := range size.Gateways {
		d := &hollowGateway{
			name: fmt.Sprintf("hollow-%04d", i), ip: own.Host(10+i/250, 1+i%250), zone: zones[i%len(zones)],
			world: w, known: make([]bool, size.Replicas), r: rand.New(rand.NewSource(int64(1_000_000 + i))),
		}
		d.client = &http.Client{Transport: &http.Transport{DialContext: dialFrom(d.ip, &w.gateway), MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}}
		w.gateways = append(w.gateways, d)
	}
	return w
}

// serve takes orders for every replica: one listener for all loopback addresses, told apart by the one that
// was dialled.
func (w *world) serve(ctx context.Context) error {
	listener, err := net.Listen("tcp4", ":"+strconv.Itoa(w.port))
	if err != nil {
		return errors.Trace(err)
	}
	server := &http.Server{
		ReadHeaderTimeout: 5 * time.Second,
		Handler: http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
			local, _ := req.Context().Value(http.LocalAddrContextKey).(net.Addr)
			host, _, _ := net.SplitHostPort(local.String())
			r := w.byIP[host]
			if r == nil {
				rw.WriteHeader(http.StatusNotFound)
				return
			}
			w.order.got.Add(1)
			if req.URL.Path == platform.OrderPath {
				r.order(rw, req)
			} else {
				r.report(rw)
			}
		}),
	}
	go func() { _ = server.Serve(&countedListener{listener, &w.order}) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return nil
}

type countedListener struct {
	net.Listener
	by *counter
}

func (l *countedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if at, ok := conn.LocalAddr().(*net.TCPAddr); ok && at.IP.IsLoopback() {
			return &counted{conn, l.by}, nil
		}
		_ = conn.Close()
	}
}

// begin lets gateways come at once and replicas so many a second: what all of them at once do is seen when all
// control nodes are killed.
func (w *world) begin(ctx context.Context, seeds []string) {
	for i, r := range w.replicas {
		w.group.Add(1)
		go func() {
			defer w.group.Done()
			pause(ctx, time.Duration(i)*time.Second/replicasPerS)
			r.run(ctx)
		}()
	}
	for _, d := range w.gateways {
		w.group.Add(1)
		go func() {
			defer w.group.Done()
			d.run(ctx, seeds)
		}()
	}
}

// press lays on a report what makes the controller move models: a few models at a time are called for so much
// that they need more copies, and others a turn later.
func (w *world) press(rep *wire.Report) {
	if w.size.LoadsPerS <= 0 {
		return
	}
	turn := int(time.Since(w.began) / turnEvery)
	held := 2 * w.size.Replicas / w.size.Models
	copies := min(w.size.Replicas/2, held+int(2*w.size.LoadsPerS*turnEvery.Seconds()/hotModels)+1)
	tokens, arrivals := map[string]float64{}, map[string]float64{}
	for k, v := range rep.PromptTokens {
		tokens[k] = v
	}
	for k, v := range rep.Arrivals {
		arrivals[k] = v
	}
	for k := range min(hotModels, w.size.Models) {
		unit := w.modelNames[(turn*hotModels+k*7)%w.size.Models]
		tokens[unit] += 4_400 * float64(copies) / float64(w.size.Gateways)
		arrivals[unit] += 1.0 / float64(w.size.Gateways)
	}
	rep.PromptTokens, rep.Arrivals = tokens, arrivals
}

func (w *world) ordered(load bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders++
	if load {
		w.loads++
	}
}

func (w *world) moves() (loads, orders int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loads, w.orders
}

// tracker notes when followers have a revision.
type tracker struct {
	mu   sync.Mutex
	have map[string]uint64
	when map[uint64]map[string]time.Time
}

func newTracker() *tracker {
	return &tracker{have: map[string]uint64{}, when: map[uint64]map[string]time.Time{}}
}

func (t *tracker) has(who string, revision uint64) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	from := t.have[who]
	if from == 0 {
		from = revision - 1
	}
	for r := from + 1; r <= revision; r++ {
		if t.when[r] == nil {
			t.when[r] = map[string]time.Time{}
		}
		t.when[r][who] = now
	}
	t.have[who] = max(t.have[who], revision)
}

func (t *tracker) times(revision uint64) map[string]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := map[string]time.Time{}
	for who, at := range t.when[revision] {
		all[who] = at
	}
	return all
}
