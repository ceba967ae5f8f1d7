package httpserver

// Status is what a server holds now, and what it has closed and refused since it began.
type Status struct {
	// Address is the address that the server listens on.
	Address string `json:"address"`
	// Connections counts the open connections by state, of MaxConnections.
	Connections    map[string]int `json:"connections"`
	MaxConnections int            `json:"maxConnections"`
	// HeldHeadBytes and HeldBodyBytes are the memory of heads and bodies, of MaxHeldHeadBytes and MaxHeldBodyBytes.
	HeldHeadBytes    int64 `json:"heldHeadBytes"`
	MaxHeldHeadBytes int64 `json:"maxHeldHeadBytes"`
	HeldBodyBytes    int64 `json:"heldBodyBytes"`
	MaxHeldBodyBytes int64 `json:"maxHeldBodyBytes"`
	// Evictions counts the connections closed to make room, and Timeouts those closed because they exceeded a timeout, by state.
	Evictions map[string]uint64 `json:"evictions"`
	Timeouts  map[string]uint64 `json:"timeouts"`
	// Refusals counts the requests refused before their head was whole, by reason.
	Refusals map[string]uint64 `json:"refusals"`
}

// Status returns what the server holds now.
func (s *Server) Status() Status {
	out := Status{
		Connections: map[string]int{}, MaxConnections: s.limits.MaxConnections, MaxHeldHeadBytes: s.limits.MaxHeldHeadBytes,
		MaxHeldBodyBytes: s.limits.MaxHeldBodyBytes, Evictions: map[string]uint64{}, Timeouts: map[string]uint64{}, Refusals: map[string]uint64{},
	}
	for in := range stateCount {
		addCount(out.Evictions, in.String(), s.evictions[in].Load())
		addCount(out.Timeouts, in.String(), s.timeouts[in].Load())
	}
	for reason := refusalNone + 1; reason < refusalCount; reason++ {
		addCount(out.Refusals, reason.String(), s.refusals[reason].Load())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		out.Address = s.listener.Addr().String()
	}
	out.HeldHeadBytes, out.HeldBodyBytes = s.heldHeadBytes, s.heldBodyBytes
	for c := range s.connections {
		c.mu.Lock()
		out.Connections[c.state.String()]++
		c.mu.Unlock()
	}
	return out
}

// Reporter is a listener that reports what it holds.
type Reporter interface{ Status() Status }

// Reports returns what those of listeners hold that report it.
func Reports[L any](listeners []L) []Status {
	out := []Status{}
	for _, l := range listeners {
		if reporter, ok := any(l).(Reporter); ok {
			out = append(out, reporter.Status())
		}
	}
	return out
}

// addCount adds a count that is not 0 to counts.
func addCount(counts map[string]uint64, name string, n uint64) {
	if n > 0 {
		counts[name] = n
	}
}
