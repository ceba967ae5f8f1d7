package scheduling

// prefillModel is how long a model's replicas take to a first piece: a part that every prompt takes, and one for
// each token that must be read. It is learnt, as a line with slowly forgotten points, from attempts that found
// nothing waiting before them.
type prefillModel struct {
	n, x, y, xx, xy float64
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
	r := &prefillModel{}
	for _, x := range []float64{300, 3000} {
		r.add(x, 25+x/initialTokensPerMs, prefillPriorWeight/2)
	}
	return r
}

func (r *prefillModel) add(tokens, ms, weight float64) {
	r.n += weight
	r.x += weight * tokens
	r.y += weight * ms
	r.xx += weight * tokens * tokens
	r.xy += weight * tokens * ms
}

func (r *prefillModel) learn(tokens int64, ms float64) {
	r.n, r.x, r.y, r.xx, r.xy = r.n*prefillDecay, r.x*prefillDecay, r.y*prefillDecay, r.xx*prefillDecay, r.xy*prefillDecay
	r.add(float64(tokens), ms, 1)
}

// coefficients is the fixed part in ms and the ms for each token.
func (r *prefillModel) coefficients() (baseMs, perToken float64) {
	spread := r.xx - r.x*r.x/r.n
	perToken = 1 / initialTokensPerMs
	if spread > 1 {
		perToken = (r.xy - r.x*r.y/r.n) / spread
	}
	perToken = min(max(perToken, minMsPerToken), maxMsPerToken)
	return min(max((r.y-perToken*r.x)/r.n, minBaseMs), maxBaseMs), perToken
}

func (d *Decider) prefillModelOf(c *Call) *prefillModel {
	key := c.modelKey()
	r := d.prefillModels[key]
	if r == nil {
		if len(d.prefillModels) > maxPrefillModels {
			d.prefillModels = map[string]*prefillModel{}
		}
		r = newPrefillModel()
		d.prefillModels[key] = r
	}
	return r
}

// maxPrefillModels bounds the models that are remembered; beyond it all are learned anew.
const maxPrefillModels = 4096
