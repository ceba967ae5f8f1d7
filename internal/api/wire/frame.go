package wire

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"sync"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/membership"
	"petreltide/internal/outlier"
)

// Frame is a message on the stream from a control node to a gateway; it carries what changed since the previous frame. The
// first frame of a stream is complete. Revision is sent together with the declaration of that revision, or with the edits
// that lead to it; EditsFrom is the revision that the edits start from.
type Frame struct {
	ControlNode string `json:"office"`
	Complete    bool   `json:"whole,omitempty"`
	CaughtUp    bool   `json:"settled,omitempty"`
	// PossiblyStale means that the control node may be partitioned: declarations newer than those it knows may be in force.
	PossiblyStale bool                       `json:"behind,omitempty"`
	View          *membership.View           `json:"view,omitempty"`
	ControlNodes  []membership.Member        `json:"offices,omitempty"`
	Revision      uint64                     `json:"revision,omitempty"`
	EditsFrom     uint64                     `json:"from,omitempty"`
	Declaration   *configuration.Declaration `json:"doc,omitempty"`
	Edits         []*configuration.Edit      `json:"edits,omitempty"`
	Replicas      []ReplicaRow               `json:"replicas,omitempty"`
	Orders        *PendingOrders             `json:"orders,omitempty"`
	GatewayCount  int                        `json:"desks,omitempty"`
	// Outliers is the table of outlier verdicts on replicas, if it has changed.
	Outliers *outlier.Table `json:"outliers,omitempty"`

	encode sync.Once
	raw    []byte
	err    error
}

// ReplicaRow is the status reported by a replica, with the control node's judgment of its reachability.
type ReplicaRow struct {
	ReplicaStatus
	Unreachable bool `json:"dark,omitempty"`
	// Index is the log index of the entry that last recorded the units it holds; the Units with the greatest index apply.
	Index uint64 `json:"index,omitempty"`
	// Stale means that the row comes from the replicated log: it is the state of the replica before the control nodes
	// restarted. A stale row with Removed set says only that the log no longer lists the replica.
	Stale bool `json:"stale,omitempty"`
}

// PendingOrders are the orders pending at replicas. Number is the log index of the entry that last changed them. A complete
// frame lists all of them, any other frame those that changed since the previous frame of the stream.
type PendingOrders struct {
	Number uint64         `json:"number"`
	Rows   []PendingOrder `json:"rows"`
}

// PendingOrder is a pending order to load a unit at a replica, or to unload it if Unload is set. An empty unit means that
// no order is pending at the replica any longer.
type PendingOrder struct {
	Replica string `json:"replica"`
	Unit    string `json:"unit,omitempty"`
	Unload  bool   `json:"unload,omitempty"`
}

// minGzipBytes is the minimum size of an encoded frame that is compressed.
const minGzipBytes = 512

// Encoded returns the frame as JSON, compressed with gzip if it has at least minGzipBytes. A frame is encoded only once,
// however many gateways it is sent to, and must not be modified after the first call.
func (f *Frame) Encoded() ([]byte, error) {
	f.encode.Do(func() {
		type bare Frame
		f.raw, f.err = json.Marshal((*bare)(f))
		if f.err != nil || len(f.raw) < minGzipBytes {
			return
		}
		var zipped bytes.Buffer
		z := gzipWriters.Get().(*gzip.Writer)
		defer gzipWriters.Put(z)
		z.Reset(&zipped)
		if _, f.err = z.Write(f.raw); f.err == nil {
			f.err = z.Close()
		}
		f.raw = zipped.Bytes()
	})
	return f.raw, f.err
}

var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}
