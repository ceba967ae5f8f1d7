package controller

// measureOccupancy sums the attempts that wait at each replica over the reports of all gateways, and tells when it is
// time for the next table.
func (f *Controller) measureOccupancy(nowUs int64) {
	meter := f.routed.occupancy
	if !meter.Due(nowUs) {
		return
	}
	waiting := map[string]int{}
	for _, report := range f.reporting(nowUs) {
		for key, n := range report.Unread {
			waiting[atOf(key).replica] += n
		}
	}
	table := meter.Measure(nowUs, f.claimed, waiting)
	f.do(Effect{Occupancy: &table})
}
