// Package replica stands in for the platform's replicas: batches of prefill and decode, kept prompt
// parts, orders one at a time, heartbeats, and journals of what reached them.
package replica

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
)

// Arrival is one request as a replica saw it. RanUs is when it began to run, 0 if it never did; Turned is
// the status by which the replica said that it did not and will not run.
type Arrival struct {
	Request  string
	Replica  string
	Service  string
	Addr     string
	From     string
	Method   string
	Host     string
	Path     string
	Body     string
	Model    string
	Last     int
	Nonce    string
	Total    int
	Sent     int
	AtUs     int64
	RanUs    int64
	EndUs    int64
	Turned   int
	Status   int
	Whole    bool
	BrokeOff bool
	// Tenant is in whose name it was to run; Keyed says that the client's key was passed on.
	Tenant string
	Keyed  bool
}

// OrderSeen is one order as a replica saw it. Over says that it was told to hold more than it can.
type OrderSeen struct {
	Replica   string
	From      string
	Holder    string
	Fence     uint64
	Operation string
	Unit      string
	AtUs      int64
	Status    int
	Over      bool
}

// LoadSeen is a load that has begun; one from the store of weights counts against its rate.
type LoadSeen struct {
	Replica   string
	Service   string
	Unit      string
	AtUs      int64
	FromStore bool
}

// Journal notes what one replica sees; every part may be left out.
type Journal struct {
	Arrived func(*Arrival)
	Ordered func(OrderSeen)
	Loading func(LoadSeen)
}

// Total is how many events a body asks for, or how large the answer to it is: "tag/number".
func Total(body string) int {
	_, n, _ := strings.Cut(body, "/")
	total, err := strconv.Atoi(n)
	if err != nil || total < 1 {
		return 1
	}
	return total
}

// Text is the n-th event of the answer to a body; the nonce tells one run from another.
func Text(body string, n int, nonce string) string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s|%d", body, n)
	return fmt.Sprintf("%016x~%s", h.Sum64(), nonce)
}

// Seal stamps an answer: the incarnation that gave it and the run.
func Seal(incarnation, nonce string) string { return incarnation + "." + nonce }
