package scheduling

import (
	"math"

	"petreltide/internal/process/clock"
)

// A retry delay is information: when the reason of a refusal should be gone, as far as this gateway has measured it.

const (
	// NoDeclarationRetryMs is the retry delay (ms) of a gateway that has not heard enough from the control nodes: the next of their
	// frames, which come every 400 ms, may hold what it lacks, and another gateway may have it.
	NoDeclarationRetryMs = 500
	// DrainingRetryMs is the retry delay (ms) of a gateway that is going down. Another gateway can take the call at once; the delay
	// only spreads the calls that are refused together.
	DrainingRetryMs = 50
	// noDelayMs is the retry delay (ms) if the reason of the refusal does not apply to another try.
	noDelayMs = 1
	// retryShareOfTimeLeft is the part of its remaining time after which a client retries at the latest, whatever retry delay it was
	// given: "Clients honour Retry-After up to a third of the time that they have left" (PROTOCOL, Answers).
	retryShareOfTimeLeft = 3
	// turnSmoothing is the weight of the newest observation in the moving average of the time between two turns.
	turnSmoothing = 1.0 / 16
)

// turns measures how fast the backlog is served: turnUs is the moving average of the time (us) between two starts of queued calls
// while others wait, lastUs the time of the newest start, backlogSinceUs that of the newest start that left calls waiting, 0 if none
// did.
type turns struct {
	turnUs, lastUs, backlogSinceUs int64
}

// started records the start of a queued call.
func (t *turns) started(nowUs int64, queued int) {
	if t.backlogSinceUs > 0 {
		tookUs := nowUs - t.backlogSinceUs
		if t.turnUs == 0 {
			t.turnUs = tookUs
		}
		t.turnUs += int64(float64(tookUs-t.turnUs) * turnSmoothing)
	}
	t.lastUs, t.backlogSinceUs = nowUs, 0
	if queued > 0 {
		t.backlogSinceUs = nowUs
	}
}

// RetryAfterMs returns the time (ms) after which the current backlog should be served: a measured turn for each call in it, and at
// least as long as it has already stood without any, because a standstill is expected to last about as long again.
func (d *Decider) RetryAfterMs() int64 {
	oldestUs := int64(math.MaxInt64)
	for _, q := range d.queues {
		if len(q.calls) > 0 {
			oldestUs = min(oldestUs, q.calls[0].ArrivedUs)
		}
	}
	standstillUs := int64(0)
	if oldestUs < math.MaxInt64 {
		standstillUs = d.nowUs - max(oldestUs, d.turns.lastUs)
	}
	return max(noDelayMs, max(standstillUs, int64(d.queued)*d.turns.turnUs)/clock.Ms)
}

// untilReplicaMs returns the time (ms) after which some replica may take a routed call: when its model is expected to be loaded, or when
// the first replica may get attempts again.
func (d *Decider) untilReplicaMs(c *Call) int64 {
	if c.Model != "" && d.nowhereLoaded(c) {
		expectedMs, _ := d.untilLoadedMs(c)
		return max(noDelayMs, int64(expectedMs))
	}
	untilUs := int64(math.MaxInt64)
	for _, r := range d.snapshot.ByService[c.Routed.Service] {
		if d.snapshot.acceptsRouted(r, c.Model, c.Adapter) {
			s := d.replicaStatsOf(r.ID)
			untilUs = min(untilUs, max(s.avoidUntilUs, s.missingUntilUs[c.unit()])-d.nowUs)
		}
	}
	if untilUs == math.MaxInt64 {
		return NoDeclarationRetryMs
	}
	return max(noDelayMs, untilUs/clock.Ms)
}

// capRetryMs shortens a retry delay (ms) to what the client of a routed call waits for at most, which is nothing once its time is over.
func (d *Decider) capRetryMs(c *Call, retryMs int64) int64 {
	if c.Routed == nil || c.TimeoutMs == 0 {
		return retryMs
	}
	leftMs := (c.ArrivedUs-d.nowUs)/clock.Ms + c.TimeoutMs
	return min(retryMs, max(0, leftMs/retryShareOfTimeLeft))
}
