package chain

// peer is what is known of another control node: its last hello, when it came, since when it is heard, and when it last heard
// this one.
type peer struct {
	hello       Hello
	lastHelloUs int64
	// lastHelloAwakeUs is the node's awakeUs when it was heard last.
	lastHelloAwakeUs int64
	// stalledSinceUs is since when its disk stalls, by its hellos.
	stalledSinceUs int64
	lastMutualUs   int64
	// lastMutualAwakeUs is the node's awakeUs when it last heard this one.
	lastMutualAwakeUs int64
}
