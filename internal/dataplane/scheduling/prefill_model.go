package scheduling

// prefillModel is how long a model's replicas take to a first piece: a part that every prompt takes, and one for
// each token that must be read. It is learnt, as a line with slowly forgotten points, from attempts that found
// nothing waiting before them.
type prefillModel struct {
	sumWeight, sumTokens, sumMs, sumTokensSquared, sumTokensMs float64
}

const (
	// prefillDecay is the weight that a point keeps with each newer one.
	prefillDecay = 0.985
	// prefillPriorWeight is the weight, in points, of the line that is assumed at first.
	prefillPriorWeight = 6.0
	// minBaseMs and maxBaseMs bound the fixed time to a first byte, in ms.
	minBaseMs = 2.0
	maxBaseMs = 400.0
	// minMsPerToken and maxMsPerToken bound the prefill time of a token, in ms.
	minMsPerToken = 1.0 / 200
	maxMsPerToken = 1.0 / 4
)

func newPrefillModel() *prefillModel {
	m := &prefillModel{}
	for _, x := range []float64{300, 3000} {
		m.add(x, 25+x/initialTokensPerMs, prefillPriorWeight/2)
	}
	return m
}

func (m *prefillModel) add(tokens, ms, weight float64) {
	m.sumWeight += weight
	m.sumTokens += weight * tokens
	m.sumMs += weight * ms
	m.sumTokensSquared += weight * tokens * tokens
	m.sumTokensMs += weight * tokens * ms
}

func (m *prefillModel) learn(tokens int64, ms float64) {
	m.sumWeight, m.sumTokens, m.sumMs, m.sumTokensSquared, m.sumTokensMs = m.sumWeight*prefillDecay, m.sumTokens*prefillDecay, m.sumMs*prefillDecay, m.sumTokensSquared*prefillDecay, m.sumTokensMs*prefillDecay
	m.add(float64(tokens), ms, 1)
}

// coefficients is the fixed part in ms and the ms for each token.
func (m *prefillModel) coefficients() (baseMs, perToken float64) {
	spread := m.sumTokensSquared - m.sumTokens*m.sumTokens/m.sumWeight
	perToken = 1 / initialTokensPerMs
	if spread > 1 {
		perToken = (m.sumTokensMs - m.sumTokens*m.sumMs/m.sumWeight) / spread
	}
	perToken = min(max(perToken, minMsPerToken), maxMsPerToken)
	return min(max((m.sumMs-perToken*m.sumTokens)/m.sumWeight, minBaseMs), maxBaseMs), perToken
}

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

// maxPrefillModels bounds the models that are remembered; beyond it all are learned anew.
const maxPrefillModels = 4096
