package statemachine

import "petreltide/internal/api/fault"

// MaxKeys bounds the number of remembered idempotency keys. A full table refuses new keys and never evicts one early.
const MaxKeys = 200_000

// applyKey claims, ends or releases a key. The outcome of a claim holds the record of the call that owns the key, and is
// Repeated where that is a different call.
func (s *State) applyKey(out *Outcome, change *KeyChange) {
	record, claimed := s.Keys[change.Key]
	own := claimed && record.GatewayIncarnation == change.GatewayIncarnation && record.Call == change.Call
	switch {
	case change.Release:
		if own && record.Ended == "" {
			delete(s.Keys, change.Key)
		}
	case change.End != "":
		if own && record.Ended == "" {
			record.Ended = change.End
			s.Keys[change.Key] = record
		}
	case claimed:
		out.Key = &record
		out.Repeated = !own
	case len(s.Keys) >= MaxKeys:
		out.Fault = fault.New(fault.KeysFull, "key", "%d keys are kept", len(s.Keys))
	default:
		record = KeyRecord{Gateway: change.Gateway, GatewayIncarnation: change.GatewayIncarnation, Call: change.Call, Index: s.Index}
		s.Keys[change.Key] = record
		s.KeyOrder = append(s.KeyOrder, change.Key)
		out.Key = &record
	}
}

// forgetKeys drops the keys that were claimed before a log index.
func (s *State) forgetKeys(before uint64) {
	for len(s.KeyOrder) > 0 {
		record, known := s.Keys[s.KeyOrder[0]]
		if known && record.Index >= before {
			return
		}
		delete(s.Keys, s.KeyOrder[0])
		s.KeyOrder = s.KeyOrder[1:]
	}
}
