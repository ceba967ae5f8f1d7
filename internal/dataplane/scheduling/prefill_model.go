package scheduling

// prefillModel estimates the time to first byte of a model's replicas as a fixed time plus a time for each uncached prompt
// token. It is a weighted least squares line whose points decay exponentially, learned from attempts that found no other
// work waiting at the replica. The first fields are the weighted sums of the regression.
type prefillModel struct {
	sumWeight, sumTokens, sumMs, sumTokensSquared, sumTokensMs float64
	// lowestRatio is the lowest recent ratio of a time to first byte to its estimate, at replicas with as little to do as one that
	// has just loaded the model.
	lowestRatio recentMinimum
}

const (
	// prefillDecay is the factor by which the weight of every point is multiplied when a newer one is added.
	prefillDecay = 0.985
	// prefillPriorWeight is the weight, in points, of the initial line.
	prefillPriorWeight = 6.0
	// minBaseMs and maxBaseMs bound the fixed part of the time to first byte, in ms.
	minBaseMs = 2.0
	maxBaseMs = 400.0
	// minMsPerToken and maxMsPerToken bound the prefill time of one token, in ms.
	minMsPerToken = 1.0 / 200
	maxMsPerToken = 1.0 / 4
)

// newPrefillModel returns a model of 25 ms plus initialTokensPerMs, as two prior points.
func newPrefillModel() *prefillModel {
	m := &prefillModel{}
	for _, x := range []float64{300, 3000} {
		m.add(x, 25+x/initialTokensPerMs, prefillPriorWeight/2)
	}
	return m
}

// add adds a point without decay of the others.
func (m *prefillModel) add(tokens, ms, weight float64) {
	m.sumWeight += weight
	m.sumTokens += weight * tokens
	m.sumMs += weight * ms
	m.sumTokensSquared += weight * tokens * tokens
	m.sumTokensMs += weight * tokens * ms
}

// learn adds an observed time to first byte (ms) for a number of uncached tokens.
func (m *prefillModel) learn(tokens int64, ms float64) {
	m.sumWeight, m.sumTokens, m.sumMs, m.sumTokensSquared, m.sumTokensMs = m.sumWeight*prefillDecay, m.sumTokens*prefillDecay,
		m.sumMs*prefillDecay, m.sumTokensSquared*prefillDecay, m.sumTokensMs*prefillDecay
	m.add(float64(tokens), ms, 1)
}

// coefficients returns the fixed time in ms and the time per token in ms, each within its bounds.
func (m *prefillModel) coefficients() (baseMs, perToken float64) {
	spread := m.sumTokensSquared - m.sumTokens*m.sumTokens/m.sumWeight
	perToken = 1 / initialTokensPerMs
	if spread > 1 {
		perToken = (m.sumTokensMs - m.sumTokens*m.sumMs/m.sumWeight) / spread
	}
	perToken = min(max(perToken, minMsPerToken), maxMsPerToken)
	return min(max((m.sumMs-perToken*m.sumTokens)/m.sumWeight, minBaseMs), maxBaseMs), perToken
}

// prefillModelOf returns the estimate for the model of a call and creates it if necessary.
func (d *Decider) prefillModelOf(c *Call) *prefillModel {
	key := c.modelKey()
	m := d.prefillModels[key]
	if m == nil {
		if len(d.prefillModels) > maxPrefillModels {
			d.prefillModels = map[string]*prefillModel{}
		}
		m = newPrefillModel()
		d.prefillModels[key] = m
	}
	return m
}

// maxPrefillModels bounds the number of prefill models; when it is exceeded, all are dropped and learned again.
const maxPrefillModels = 4096
