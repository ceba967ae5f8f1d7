package scheduling

// reading is how long a model's replicas take to a first piece: a part that every prompt takes, and one for
// each token that must be read. It is learnt, as a line with slowly forgotten points, from attempts that found
// nothing waiting before them.
type reading struct {
	n, x, y, xx, xy float64
}

const (
	readingForget = 0.985
	readingPrior  = 6.0
	baseLeastMs   = 2.0
	baseMostMs    = 400.0
	perTokenLeast = 1.0 / 200
	perTokenMost  = 1.0 / 4
)

func newReading() *reading {
	r := &reading{}
	for _, x := range []float64{300, 3000} {
		r.add(x, 25+x/tokensPerMs, readingPrior/2)
	}
	return r
}

func (r *reading) add(tokens, ms, weight float64) {
	r.n += weight
	r.x += weight * tokens
	r.y += weight * ms
	r.xx += weight * tokens * tokens
	r.xy += weight * tokens * ms
}

func (r *reading) learn(tokens int64, ms float64) {
	r.n, r.x, r.y, r.xx, r.xy = r.n*readingForget, r.x*readingForget, r.y*readingForget, r.xx*readingForget, r.xy*readingForget
	r.add(float64(tokens), ms, 1)
}

// line is the fixed part in ms and the ms for each token.
func (r *reading) line() (baseMs, perToken float64) {
	spread := r.xx - r.x*r.x/r.n
	perToken = 1 / tokensPerMs
	if spread > 1 {
		perToken = (r.xy - r.x*r.y/r.n) / spread
	}
	perToken = min(max(perToken, perTokenLeast), perTokenMost)
	return min(max((r.y-perToken*r.x)/r.n, baseLeastMs), baseMostMs), perToken
}

func (d *Decider) reading(c *Call) *reading {
	key := c.modelKey()
	r := d.readings[key]
	if r == nil {
		if len(d.readings) > readingsMost {
			d.readings = map[string]*reading{}
		}
		r = newReading()
		d.readings[key] = r
	}
	return r
}

const readingsMost = 4096
