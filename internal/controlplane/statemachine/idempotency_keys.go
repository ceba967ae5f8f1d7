package statemachine

import "petreltide/internal/api/fault"

// KeyRecord is who first used a caller's idempotency key, and how that call ended.
type KeyRecord struct {
	Gateway            string `json:"desk"`
	GatewayIncarnation string `json:"deskInc"`
	Call               string `json:"call"`
	Ended              string `json:"ended,omitempty"`
	Index              uint64 `json:"index"`
}

// KeyChange takes an idempotency key for a call, ends it, or frees it.
type KeyChange struct {
	Key                string `json:"key"`
	Gateway            string `json:"desk"`
	GatewayIncarnation string `json:"deskInc"`
	Call               string `json:"call"`
	End                string `json:"end,omitempty"`
	Release            bool   `json:"free,omitempty"`
}

func (s *State) applyKey(out *Outcome, c Change) {
	change := c.Key
	record, seen := s.Keys[change.Key]
	mine := seen && record.GatewayIncarnation == change.GatewayIncarnation && record.Call == change.Call
	switch {
	case change.Release:
		if mine && record.Ended == "" {
			delete(s.Keys, change.Key)
		}
	case change.End != "":
		if mine && record.Ended == "" {
			record.Ended = change.End
			s.Keys[change.Key] = record
		}
	case seen:
		first := record
		out.Key = &first
		out.Repeated = !mine
	default:
		if len(s.Keys) >= MaxKeys {
			out.Fault = fault.New(fault.KeysFull, "key", "%d keys are kept", len(s.Keys))
			return
		}
		record = KeyRecord{Gateway: change.Gateway, GatewayIncarnation: change.GatewayIncarnation, Call: change.Call, Index: s.Index}
		s.Keys[change.Key] = record
		s.KeyOrder = append(s.KeyOrder, change.Key)
		out.Key = &record
	}
}

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
