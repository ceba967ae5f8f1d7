package httpserver

import "time"

// admit tracks a new connection. If there are as many as there may be, the one that has given least is closed first; if all are being
// served, the new one is not admitted.
func (s *Server) admit(c *connection) bool {
	for {
		s.mu.Lock()
		if s.limits.MaxConnections == 0 || len(s.connections) < s.limits.MaxConnections {
			s.connections[c] = true
			if s.closing {
				c.end()
			}
			s.mu.Unlock()
			return true
		}
		victim, from := s.chooseVictim(evictionOrder[:])
		s.mu.Unlock()
		if victim == nil {
			return false
		}
		s.evict(victim, from)
	}
}

// remove gives back all that is counted for a connection.
func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldHeadBytes -= c.heldHeadBytes
	c.heldHeadBytes = 0
	delete(s.connections, c)
}

// holdHead counts memory for the head of a connection. If the heads exceed their limit, the head that has been under way for longest
// goes, or else the body that has not moved for longest. If there is no other, the request itself is refused, unless it is alone.
func (s *Server) holdHead(c *connection, bytes int64) refusal {
	s.mu.Lock()
	if !s.connections[c] {
		// It has been closed meanwhile, and what it held is given back.
		s.mu.Unlock()
		return refusalNone
	}
	c.heldHeadBytes += bytes
	s.heldHeadBytes += bytes
	for s.limits.MaxHeldHeadBytes > 0 && s.heldHeadBytes > s.limits.MaxHeldHeadBytes && s.heldHeadBytes > c.heldHeadBytes {
		victim, from := s.chooseVictim(headHolders)
		s.mu.Unlock()
		if victim == nil || victim == c {
			return refusalHeadsFull
		}
		s.evict(victim, from)
		s.mu.Lock()
	}
	s.mu.Unlock()
	return refusalNone
}

// servesHead reports whether a request whose head is whole may be served. A head that is served does not give way, so a large one is only
// served while the others take little, or if it takes a small part of what is free: ordinary heads find room beside any number of large ones.
func (s *Server) servesHead(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.limits.MaxHeldHeadBytes
	others := s.heldHeadBytes - c.heldHeadBytes
	return limit == 0 || others == 0 || FitsBeside(others, c.heldHeadBytes, limit, freeHeadDivisor)
}

// headHolders are the states in which a connection holds a head and may be closed.
var headHolders = []state{stateHead, stateBody}

// releaseHead gives back the memory of a connection's head.
func (s *Server) releaseHead(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldHeadBytes -= c.heldHeadBytes
	c.heldHeadBytes = 0
}

// holdBody counts bytes of a body that holds own bytes in all, and reports whether they are within the limit.
func (s *Server) holdBody(bytes, own int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldBodyBytes += bytes
	return s.heldBodyBytes <= s.limits.MaxHeldBodyBytes || s.heldBodyBytes == own
}

// EvictStalledBody closes the connection whose body has not moved for longest, if there is one that has not moved for idleGrace.
func (s *Server) EvictStalledBody() {
	s.mu.Lock()
	victim := s.longest(stateBody, idleGrace)
	s.mu.Unlock()
	if victim != nil {
		s.evict(victim, stateBody)
	}
}

// evict closes a connection to make room, if it is still in the state for which it was chosen.
func (s *Server) evict(c *connection, from state) {
	if c.evict(from) {
		s.evictions[from].Add(1)
	}
}

// chooseVictim returns the connection that is to be closed to make room, of those in the given states. First come those that have
// done nothing for idleGrace, then any. The caller holds mu.
func (s *Server) chooseVictim(states []state) (*connection, state) {
	for _, grace := range []time.Duration{idleGrace, 0} {
		for _, from := range states {
			if c := s.longest(from, grace); c != nil {
				return c, from
			}
		}
	}
	return nil, stateNew
}

// longest returns the connection that has been in a state for longest, if it has been for so long at least. The caller holds mu.
func (s *Server) longest(in state, atLeast time.Duration) *connection {
	var found *connection
	since := time.Now().Add(-atLeast)
	for c := range s.connections {
		c.mu.Lock()
		if c.mayEvict(in) && !c.sinceTime.After(since) {
			found, since = c, c.sinceTime
		}
		c.mu.Unlock()
	}
	return found
}
