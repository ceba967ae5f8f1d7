package chain

func (n *Node) lastIndex() uint64 {
	if len(n.entries) == 0 {
		return n.base.Index
	}
	return n.entries[len(n.entries)-1].Index
}

func (n *Node) lastView() uint64 {
	if len(n.entries) == 0 {
		return n.base.View
	}
	return n.entries[len(n.entries)-1].View
}

func (n *Node) entryAt(index uint64) (Entry, bool) {
	if len(n.entries) == 0 || index < n.entries[0].Index || index > n.lastIndex() {
		return Entry{}, false
	}
	return n.entries[index-n.entries[0].Index], true
}

func (n *Node) viewAt(index uint64) (uint64, bool) {
	if index == n.base.Index {
		return n.base.View, true
	}
	e, ok := n.entryAt(index)
	return e.View, ok
}
