package membership

// Member is a control node by the identity that its disk holds; a new disk is another member.
type Member struct {
	ID   string `json:"id"`
	Name string `json:"name"`
	Addr string `json:"addr"`
	Zone string `json:"zone"`
}

// ChainReplica is a place in the order of a view, held by one process of a member: one that restarts has lost it.
type ChainReplica struct {
	Member
	Incarnation string `json:"inc"`
}
