package world

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Route is a route of a configuration.
type Route struct {
	Name, Host, Prefix, Kind, Service string
	TimeoutMs, Attempts               int
}

// Configuration is what an operator declares.
type Configuration struct {
	Version  int
	Routes   []Route
	Services []string
}

func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > 2 {
				return http.ErrUseLastResponse
			}
			return nil
		}}
}

// send sends one request on a connection of its own. The status is 0 where there was no complete answer.
func send(c *http.Client, method, url string, header map[string]string, host string, body []byte) (status int, h http.Header, answer []byte, err error) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	if host != "" {
		r.Host = host
	}
	res, err := c.Do(r)
	if err != nil {
		return 0, nil, nil, err
	}
	defer res.Body.Close()
	if answer, err = io.ReadAll(res.Body); err != nil {
		return 0, nil, nil, err
	}
	return res.StatusCode, res.Header, answer, nil
}

// Replace sends a whole configuration to one machine, once. An answer is awaited for a second.
func (w *World) Replace(ip string, base int, c Configuration) int {
	status, _, answer, err := send(newClient(time.Second), "POST", fmt.Sprintf("http://%s:%d%s", ip, ControlPort, W["replace"]),
		map[string]string{W["base"]: fmt.Sprint(base), "Content-Type": "application/json"}, "", Fill("configuration.json", c))
	w.Note("operator: version %d on %d to %s: %d %s", c.Version, base, ip, status, brief(answer, err))
	return status
}

func brief(answer []byte, err error) string {
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(answer[:min(len(answer), 160)]))
}

// OneRoute returns a configuration with one idempotent route to the service log.
func OneRoute(version int) Configuration {
	return Configuration{Version: version, Services: []string{"log"},
		Routes: []Route{{Name: "r-1", Host: "ficu95.example", Prefix: "/puxa403/", Kind: "idempotent", Service: "log", TimeoutMs: 4000, Attempts: 2}}}
}

// Acknowledged sends the configuration of OneRoute until it is acknowledged, for about 8 s at most.
func (w *World) Acknowledged(ips []string, base, version int) bool {
	for n := range 40 {
		if w.Replace(ips[n%len(ips)], base, OneRoute(version)) == 200 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// Ready asks a gateway whether it wants clients, as the platform does.
func (w *World) Ready(ip string) bool {
	status, _, _, _ := send(newClient(900*time.Millisecond), "GET", fmt.Sprintf("http://%s:%d%s", ip, ReadyPort, W["ready"]), nil, "", nil)
	return status == http.StatusOK
}

// Ask sends a client's request on a new connection and returns the status and the replica's stamp.
func (w *World) Ask(ip, id, host, path string, deadline time.Duration, body []byte) (status int, stamp string, answer []byte) {
	status, h, answer, err := send(newClient(deadline), "POST", fmt.Sprintf("http://%s:%d%s", ip, ClientPort, path),
		map[string]string{W["id"]: id, W["deadline"]: fmt.Sprint(deadline.Milliseconds())}, host, body)
	if h != nil {
		stamp = h.Get(W["seal"])
	}
	w.Note("client: %s by %s: %d %s", id, ip, status, brief(answer, err))
	return status, stamp, answer
}

// Replica stands in for a replica of a service without an engine.
type Replica struct {
	ID, Service, Addr, Zone, State string
	Slots                          int
	Seq                            int64

	w       *World
	control func() []string
	server  *http.Server
	stop    chan struct{}
	mu      sync.Mutex
	running int
}

// Replica starts a replica, which says of itself every 1.2 s that it is ready. control lists the addresses of the machines
// that serve control.
func (w *World) Replica(id, service, zone string, control func() []string) (*Replica, error) {
	r := &Replica{ID: id, Service: service, Addr: w.IP() + ":8080", Zone: zone, State: W["state ready"], Slots: 6, w: w, control: control, stop: make(chan struct{})}
	l, err := net.Listen("tcp4", r.Addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+W["health"], func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set(W["instance"], r.ID) })
	mux.HandleFunc("/", r.serve)
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(l) }()
	go r.beats()
	return r, nil
}

func (r *Replica) serve(rw http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(W["id"])
	rw.Header().Set(W["id"], id)
	if e := q.Header.Get(W["expected"]); e != "" && e != r.ID {
		rw.Header().Set(W["instance"], r.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	full := r.running >= r.Slots
	if !full {
		r.running++
	}
	r.mu.Unlock()
	if full {
		rw.Header().Set(W["turned away"], "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { r.mu.Lock(); r.running--; r.mu.Unlock() }()
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.w.Note("replica %s of %s runs %s", r.ID, r.Service, id)
	time.Sleep(20 * time.Millisecond)
	rw.Header().Set(W["seal"], r.ID+"."+id)
	_, _ = rw.Write(append([]byte("done "+id+" "), body...))
}

func (r *Replica) beats() {
	for n := 0; ; n++ {
		r.Seq++
		for i := range 3 {
			all := r.control()
			if len(all) == 0 {
				break
			}
			at := all[(n+i)%len(all)]
			if status, _, _, _ := send(newClient(time.Second), "POST", fmt.Sprintf("http://%s:%d"+W["beat"], at, ControlPort, r.ID),
				map[string]string{"Content-Type": "application/json"}, "", Fill("beat.json", r)); status/100 == 2 {
				break
			}
		}
		select {
		case <-r.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// End ends the replica.
func (r *Replica) End() {
	close(r.stop)
	_ = r.server.Close()
}

// Read asks one machine for the configuration, once. It returns the version, 0 without one.
func (w *World) Read(ip string) (version int) {
	status, _, answer, err := send(newClient(time.Second), "GET", fmt.Sprintf("http://%s:%d%s", ip, ControlPort, W["read"]), nil, "", nil)
	if status == http.StatusOK {
		var c struct {
			Version int `json:"version"`
		}
		if json.Unmarshal(answer, &c) == nil {
			version = c.Version
		}
	}
	w.Note("operator: reads at %s: %d, version %d %s", ip, status, version, brief(answer, err))
	return version
}
