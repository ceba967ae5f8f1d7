package membership

// Member is a control node, identified by the ID stored on its disk; with a new disk it is another member.
type Member struct {
	ID   string `json:"id"`
	Name string `json:"name"`
	Addr string `json:"addr"`
	Zone string `json:"zone"`
}

// ChainReplica is a position in the order of a view. It is held by one process of a member, and a process that restarts
// loses it.
type ChainReplica struct {
	Member
	Incarnation string `json:"inc"`
}
