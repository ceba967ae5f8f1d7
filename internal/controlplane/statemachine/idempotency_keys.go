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
	k := c.Key
	row, seen := s.Keys[k.Key]
	mine := seen && row.GatewayIncarnation == k.GatewayIncarnation && row.Call == k.Call
	switch {
	case k.Release:
		if mine && row.Ended == "" {
			delete(s.Keys, k.Key)
		}
	case k.End != "":
		if mine && row.Ended == "" {
			row.Ended = k.End
			s.Keys[k.Key] = row
		}
	case seen:
		held := row
		out.Key = &held
		out.Repeated = !mine
	default:
		if len(s.Keys) >= MaxKeys {
			out.Fault = fault.New(fault.KeysFull, "key", "%d keys are kept", len(s.Keys))
			return
		}
		row = KeyRecord{Gateway: k.Gateway, GatewayIncarnation: k.GatewayIncarnation, Call: k.Call, Index: s.Index}
		s.Keys[k.Key] = row
		s.KeyOrder = append(s.KeyOrder, k.Key)
		out.Key = &row
	}
}

func (s *State) forgetKeys(before uint64) {
	for len(s.KeyOrder) > 0 {
		row, kept := s.Keys[s.KeyOrder[0]]
		if kept && row.Index >= before {
			return
		}
		delete(s.Keys, s.KeyOrder[0])
		s.KeyOrder = s.KeyOrder[1:]
	}
}
