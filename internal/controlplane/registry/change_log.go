package registry

import "sort"

// maxChangeLog bounds the change log. When it is exceeded, the older half is dropped.
const maxChangeLog = 8192

// changeRecord is one change in the change log, which lets readers find a few changes without scanning all entries.
type changeRecord struct {
	revision uint64
	id       string
}

// recordChange assigns the next revision to an entry that changed and appends the change to the log.
func (r *Registry) recordChange(e *Entry) {
	e.checksum = checksum(&e.ReplicaStatus)
	r.Revision++
	e.Revision = r.Revision
	r.changes = append(r.changes, changeRecord{r.Revision, e.ID})
	if len(r.changes) > maxChangeLog {
		r.changes = append([]changeRecord(nil), r.changes[maxChangeLog/2:]...)
	}
}

// ChangedSince returns the IDs of the entries that changed after a revision, without duplicates and in no particular order.
// Entries that were forgotten are not included.
func (r *Registry) ChangedSince(revision uint64) []string {
	if len(r.changes) == 0 || r.changes[0].revision > revision+1 {
		ids := []string{}
		for id, e := range r.entries {
			if e.Revision > revision {
				ids = append(ids, id)
			}
		}
		return ids
	}
	at := sort.Search(len(r.changes), func(i int) bool { return r.changes[i].revision > revision })
	seen, ids := map[string]bool{}, []string{}
	for _, change := range r.changes[at:] {
		if !seen[change.id] && r.entries[change.id] != nil {
			seen[change.id] = true
			ids = append(ids, change.id)
		}
	}
	return ids
}
