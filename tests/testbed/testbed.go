package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/settings"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/controlnode"
	"petreltide/internal/dataplane/gateway"
	"petreltide/internal/process/logring"
	"petreltide/tests/loopback"
	"petreltide/tests/modelserver"
	"petreltide/tests/platform"
)

// Fleet runs a few real hosts inside one process, sockets and disks included, for tests that need
// no kills: bad input, interfaces, measurements.
type Fleet struct {
	ControlNodes []string
	Gateways     []string
	Replicas     []string
	Platform     *platform.Platform
	cancel       context.CancelFunc
	group        sync.WaitGroup
	loop         *loopback.Network
	mu           sync.Mutex
	ended        []string
}

// Plan says how many hosts of each role there are and how fast the stand-in replicas work, in microseconds.
type Plan struct {
	Folder       string
	ControlNodes int
	Gateways     int
	Replicas     int
	Slots        int
	FirstUs      int64
	PartUs       int64
	PieceUs      int64
	RoomMb       int64
	Store        configuration.Store
}

func listen(ip string) (net.Listener, string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, "", errors.Trace(err)
	}
	return l, l.Addr().String(), nil
}

// Open starts all hosts; Close ends them.
func Open(plan Plan) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Fleet{cancel: cancel, Platform: platform.New(platform.NewStore(plan.Store.Loads, plan.Store.MBPerSecond, plan.Store.BurstMB))}
	platListener, platAddr, err := listen("127.0.0.1")
	if err != nil {
		return nil, err
	}
	if s.loop, err = loopback.Claim(); err != nil {
		return nil, err
	}
	plat := &http.Server{Handler: s.Platform.Handler()}
	s.spawn(func() { _ = plat.Serve(platListener) })
	context.AfterFunc(ctx, func() { _ = plat.Close() })
	for i := 0; i < plan.ControlNodes; i++ {
		s.ControlNodes = append(s.ControlNodes, s.loop.Addr())
	}
	for i, addr := range s.ControlNodes {
		name := fmt.Sprintf("core-%d", i+1)
		folder := filepath.Join(plan.Folder, name)
		if err := os.MkdirAll(folder, 0o755); err != nil {
			return nil, errors.Trace(err)
		}
		host, err := controlnode.Open(settings.ControlNode{Name: name, Listen: addr, Advertise: addr, Zone: string(rune('a' + i%3)), Seeds: s.ControlNodes, DataDir: folder, Platform: platAddr, FoundingSize: plan.ControlNodes},
			logring.NewRing(folder, io.Discard))
		if err != nil {
			return nil, err
		}
		s.run(ctx, addr, host.Run)
	}
	for i := 0; i < plan.Replicas; i++ {
		l, addr, err := listen("127.0.0.1")
		if err != nil {
			return nil, err
		}
		id := fmt.Sprintf("gpu-%d", i+1)
		zone := string(rune('a' + i%3))
		host := modelserver.NewHost(modelserver.NewCore(modelserver.Options{
			ID: id, Incarnation: id + "-1", Zone: zone, RoomMb: plan.RoomMb, Slots: plan.Slots, FirstUs: plan.FirstUs, PartUs: plan.PartUs, PieceUs: plan.PieceUs,
			LoadUs: func(sizeMb int64) int64 { return 20_000 + sizeMb*10 },
		}), "")
		s.Replicas = append(s.Replicas, addr)
		s.run(ctx, addr, func(ctx context.Context) error { return host.Serve(ctx, l) })
		s.Platform.Set(wire.ListedReplica{ID: id, Addr: addr, Zone: zone, CapacityMB: plan.RoomMb, Slots: plan.Slots, State: wire.ListedReady})
	}
	for i := 0; i < plan.Gateways; i++ {
		addr := s.loop.Addr()
		host := gateway.Open(settings.Gateway{Name: fmt.Sprintf("front-%d", i+1), Listen: addr, Advertise: addr, Zone: string(rune('a' + i%3)), Seeds: s.ControlNodes, MaxQueue: 64, MaxBodyKB: 64, DrainMs: 2000},
			logring.NewRing("", io.Discard))
		s.Gateways = append(s.Gateways, addr)
		s.run(ctx, addr, host.Run)
	}
	return s, nil
}

func (s *Fleet) spawn(act func()) {
	s.group.Add(1)
	go func() {
		defer s.group.Done()
		act()
	}()
}

// run notes a host that ends before its time, since the others may well do without it.
func (s *Fleet) run(ctx context.Context, addr string, serve func(context.Context) error) {
	s.spawn(func() {
		err := serve(ctx)
		if ctx.Err() == nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.ended = append(s.ended, fmt.Sprintf("%s: %v", addr, err))
		}
	})
}

// Close ends all hosts and names those that had ended by themselves.
func (s *Fleet) Close() error {
	s.cancel()
	s.group.Wait()
	if s.loop != nil {
		s.loop.Close()
	}
	if len(s.ended) > 0 {
		return errors.Errorf("ended before their time: %s", strings.Join(s.ended, "; "))
	}
	return nil
}

// Do sends one request and reads the whole answer.
func Do(method, url, body string, headers ...string) (int, http.Header, string, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, nil, "", errors.Trace(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Timeout: 20 * time.Second}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, "", errors.Trace(err)
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	return res.StatusCode, res.Header, string(raw), errors.Trace(err)
}

// Until asks again until the condition holds; the wait is bounded by tries, not by a speed.
func Until(what string, holds func() bool) error {
	for try := 0; try < 1200; try++ {
		if holds() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.Errorf("gave up waiting until %s", what)
}

// Begin sends the first declaration and waits until every model has a holder.
func (s *Fleet) Begin(doc *configuration.Declaration) error {
	raw, err := json.Marshal(doc)
	if err != nil {
		return errors.Trace(err)
	}
	last := ""
	if err := Until("the first declaration is taken", func() bool {
		status, _, body, err := Do(http.MethodPut, "http://"+s.ControlNodes[0]+"/v1/config?base=0&change=first", string(raw))
		last = body
		return err == nil && status == http.StatusOK
	}); err != nil {
		return errors.Annotate(err, last)
	}
	return Until("every model is held", func() bool {
		held := map[string]bool{}
		for _, addr := range s.Replicas {
			_, _, body, err := Do(http.MethodGet, "http://"+addr+"/v1/state", "")
			var st wire.ReplicaState
			if err != nil || json.Unmarshal([]byte(body), &st) != nil {
				return false
			}
			for _, h := range st.Loaded {
				held[h.Unit] = true
			}
		}
		for _, m := range doc.Models {
			if !held[m.Name] {
				return false
			}
		}
		return s.leased()
	})
}

func (s *Fleet) leased() bool {
	for _, addr := range s.Gateways {
		var st struct {
			Work struct {
				LeaseMs  int64  `json:"leaseMs"`
				Revision uint64 `json:"revision"`
			} `json:"work"`
		}
		_, _, body, err := Do(http.MethodGet, "http://"+addr+"/v1/status", "")
		if err != nil || json.Unmarshal([]byte(body), &st) != nil || st.Work.LeaseMs == 0 || st.Work.Revision == 0 {
			return false
		}
	}
	return true
}

// Leader asks each control node for its status until one leads.
func (s *Fleet) Leader() (controlnode.Status, bool) {
	for _, addr := range s.ControlNodes {
		_, _, body, err := Do(http.MethodGet, "http://"+addr+"/v1/status", "")
		var st controlnode.Status
		if err == nil && json.Unmarshal([]byte(body), &st) == nil && st.IsLeader {
			return st, true
		}
	}
	return controlnode.Status{}, false
}
