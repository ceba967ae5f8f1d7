package httpserver

import "time"

// sweepUntil closes connections that have exceeded a timeout, every sweepInterval until done is closed.
func (s *Server) sweepUntil(done <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			s.tick.Add(1)
			s.sweep(time.Now())
		}
	}
}

// sweep closes the connections that have exceeded a timeout.
func (s *Server) sweep(now time.Time) {
	type expired struct {
		connection *connection
		in         state
	}
	var late []expired
	s.mu.Lock()
	for c := range s.connections {
		if in, exceeded := s.exceedsTimeout(c, now); exceeded {
			late = append(late, expired{c, in})
		}
	}
	s.mu.Unlock()
	for _, l := range late {
		if l.connection.giveUp(l.in) {
			s.timeouts[l.in].Add(1)
		}
	}
}

// exceedsTimeout reports whether a connection has exceeded a timeout of its state.
func (s *Server) exceedsTimeout(c *connection, now time.Time) (state, bool) {
	if s.limits.WriteTimeout > 0 && time.Duration(c.stalledTicks())*sweepInterval > s.limits.WriteTimeout {
		return stateServing, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := time.Duration(0)
	since := c.sinceTime
	switch c.state {
	case stateNew, stateHead:
		if s.limits.HeadTimeout != nil {
			limit = s.limits.HeadTimeout()
		}
	case stateBody:
		limit = s.limits.BodyStallTimeout
		if s.limits.BodyTimeout > 0 && now.Sub(c.bodyTime) > s.limits.BodyTimeout {
			return c.state, true
		}
	}
	return c.state, limit > 0 && now.Sub(since) > limit
}
