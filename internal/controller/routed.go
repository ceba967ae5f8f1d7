package controller

import "petreltide/internal/ledger"

// Saw notes the tickets and settled orders of whoever holds the duty, as they are applied.
func (f *Controller) Saw(nowUs int64, epoch uint64, d ledger.Duty, s *ledger.State) {}
