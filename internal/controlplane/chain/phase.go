package chain

// Phase is the relation of a process to the chain.
type Phase string

const (
	// PhaseBootstrap means that the process knows no chain yet.
	PhaseBootstrap Phase = "fresh"
	// PhaseRestarted means that the process has restarted with its disk and has no position in the chain yet.
	PhaseRestarted Phase = "waking"
	// PhaseServing means that the process has a position in the chain.
	PhaseServing Phase = "serving"
	// PhaseStandby means that the process knows the chain and has no position in it.
	PhaseStandby Phase = "outside"
	// PhaseFenced means that a newer process of the same member has replaced this one, which no longer takes part in the protocol.
	PhaseFenced Phase = "fenced"
)
