package relay

import (
	"net"
	"sync"

	"github.com/juju/errors"
)

// Switch holds the relays that stand before processes, and which ways between them are cut. It knows
// a process by the loopback IP it dials from.
type Switch struct {
	mu     sync.Mutex
	change *sync.Cond
	names  map[string]string
	cuts   map[[2]string]int
	held   map[[2]string]int
	relays []*relay
	closed bool
}

type relay struct {
	name     string
	target   string
	listener net.Listener
}

// New is a switch without relays; nothing is cut.
func New() *Switch {
	s := &Switch{names: map[string]string{}, cuts: map[[2]string]int{}, held: map[[2]string]int{}}
	s.change = sync.NewCond(&s.mu)
	return s
}

// Before opens a relay before a process and returns the address to reach it by.
func (s *Switch) Before(name, ip, target string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	r := &relay{name: name, target: target, listener: l}
	s.mu.Lock()
	s.names[ip] = name
	s.relays = append(s.relays, r)
	s.mu.Unlock()
	go s.serve(r)
	return l.Addr().String(), nil
}

func (s *Switch) serve(r *relay) {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go s.carry(r, in)
	}
}

// carry joins two pipes and stops where the way is cut, as a network would: nothing is closed, what
// was sent waits.
func (s *Switch) carry(r *relay, in net.Conn) {
	defer in.Close()
	from := s.nameOf(in)
	if !s.wait(from, r.name) {
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer out.Close()
	over := make(chan struct{}, 2)
	pass := func(to, of net.Conn, a, b string) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := of.Read(buffer)
			if !s.wait(a, b) {
				break
			}
			if n > 0 {
				if _, failed := to.Write(buffer[:n]); failed != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		over <- struct{}{}
	}
	go pass(out, in, from, r.name)
	go pass(in, out, r.name, from)
	<-over
}

func (s *Switch) nameOf(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names[host]
}

// wait returns once the way from one to the other is open, false when the switch has closed.
func (s *Switch) wait(from, to string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	way := [2]string{from, to}
	if s.cuts[way] > 0 && !s.closed {
		s.held[way]++
	}
	for s.cuts[way] > 0 && !s.closed {
		s.change.Wait()
	}
	return !s.closed
}

// Cut stops all that goes from one to the other; Mend lets it go on.
func (s *Switch) Cut(from, to string) { s.turn(from, to, 1) }

// Restore lets what goes from one to the other go on, once it has been called as often as Cut.
func (s *Switch) Restore(from, to string) { s.turn(from, to, -1) }

func (s *Switch) turn(from, to string, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	way := [2]string{from, to}
	s.cuts[way] = max(0, s.cuts[way]+by)
	s.change.Broadcast()
}

// HeldBackCount counts how often something was held back on a way: a cut that held nothing proves nothing.
func (s *Switch) HeldBackCount(from, to string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[[2]string{from, to}]
}

// Close ends all relays and lets go of what was held back.
func (s *Switch) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, r := range s.relays {
		_ = r.listener.Close()
	}
	s.change.Broadcast()
}
