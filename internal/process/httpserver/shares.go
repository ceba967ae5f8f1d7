package httpserver

// reservedDescriptors are the descriptors that are left to files and to the runtime.
const reservedDescriptors = 200

// The resources of a process whose settings state none.
const (
	defaultMemoryBytes = 1 << 30
	defaultDescriptors = 4096
	// minConnections is the least number of connections that a listener or a pool has.
	minConnections = 16
)

// Machine is what a process may use: its memory, and its descriptors with those that are reserved for files. 0 stands for a default.
type Machine struct {
	MemoryBytes int64
	Descriptors int
}

// Memory returns a share of the memory, in bytes.
func (m Machine) Memory(share float64) int64 {
	if m.MemoryBytes == 0 {
		m.MemoryBytes = defaultMemoryBytes
	}
	return int64(float64(m.MemoryBytes) * share)
}

// Connections returns how many connections of bytesEach fit into a share of the descriptors and a share of the memory.
func (m Machine) Connections(descriptors, memory float64, bytesEach int64) int {
	if m.Descriptors == 0 {
		m.Descriptors = defaultDescriptors
	}
	byDescriptors := int(float64(max(0, m.Descriptors-reservedDescriptors)) * descriptors)
	return max(minConnections, min(byDescriptors, int(m.Memory(memory)/bytesEach)))
}

// calmDivisor is the divisor of a limit that yields what others may hold for any request to fit for which there is room.
const calmDivisor = 10

// FitsBeside reports whether a request that does not give way later may hold own bytes of limit, of which others hold a part: in calm
// whatever is free, and else a part of that, given by freeDivisor, so that ordinary requests find room beside any number of large ones.
func FitsBeside(others, own, limit, freeDivisor int64) bool {
	free := limit - others
	return own <= free && (others <= limit/calmDivisor || own <= free/freeDivisor)
}

// Share is the share of a machine that one listener takes: of the descriptors, and of the memory for connections, heads and bodies.
type Share struct {
	Descriptors, Connections, Heads, Bodies float64
	// UnreadBytes is as in Limits.
	UnreadBytes int
}

// Limits returns the limits of a listener with this share. Its timeouts are the caller's to set.
func (s Share) Limits(m Machine) Limits {
	limits := Limits{UnreadBytes: s.UnreadBytes, MaxHeldHeadBytes: m.Memory(s.Heads), MaxHeldBodyBytes: m.Memory(s.Bodies)}
	limits.MaxConnections = m.Connections(s.Descriptors, s.Connections, int64(connectionBytes+limits.unreadBytes()))
	return limits
}
