package httpserver

import (
	"net/http"
	"sync"
	"time"
)

const (
	// MaxAnswers is how many answers of a kind that may be large are made and read at the same time.
	MaxAnswers = 8
	// answerTimeout bounds the time in which a client has to read such an answer.
	answerTimeout = time.Minute
	// stalledTicks is the number of sweeps after which a write that is still under way counts as stalled.
	stalledTicks = 2
)

// AnswerLimit bounds how many answers are made and read at the same time. An answer stays in the memory until its client has read it.
type AnswerLimit struct {
	max     int
	mu      sync.Mutex
	running map[*connection]bool
	// untracked counts the answers on connections that no Server has accepted.
	untracked int
}

// NewAnswerLimit returns a limit of max answers.
func NewAnswerLimit(max int) *AnswerLimit {
	return &AnswerLimit{max: max, running: map[*connection]bool{}}
}

// Wrap returns a handler that passes requests to handler within the limit. Beyond it a request is refused with a time to come back, and
// the answer of which nothing has been read for longest is given up.
func (l *AnswerLimit) Wrap(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connectionKey{}).(*connection)
		if !l.begin(c) {
			l.giveUpStalled()
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer l.end(c)
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTimeout))
		handler(w, r)
	}
}

// begin reports whether there is room for an answer, and takes it.
func (l *AnswerLimit) begin(c *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.running)+l.untracked >= l.max {
		return false
	}
	if c == nil {
		l.untracked++
	} else {
		l.running[c] = true
	}
	return true
}

func (l *AnswerLimit) end(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c == nil {
		l.untracked--
	} else {
		delete(l.running, c)
	}
}

// giveUpStalled closes the connection whose client has taken nothing of its answer for longest, if there is one that has not for a while.
func (l *AnswerLimit) giveUpStalled() {
	var stalled *connection
	longest := int64(stalledTicks)
	l.mu.Lock()
	for c := range l.running {
		if ticks := c.stalledTicks(); ticks >= longest {
			stalled, longest = c, ticks
		}
	}
	l.mu.Unlock()
	if stalled != nil && stalled.giveUp(stateServing) {
		stalled.server.timeouts[stateServing].Add(1)
	}
}
