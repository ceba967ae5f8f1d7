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

// Frame is one push of differences from a control node down a gateway's stream. The first of a stream is whole.
// Revision and the declaration or the edits that lead to it come together; From is where the edits begin.
type Frame struct {
	ControlNode string `json:"office"`
	Complete    bool   `json:"whole,omitempty"`
	CaughtUp    bool   `json:"settled,omitempty"`
	// PossiblyStale says that the control node may be cut off: newer declarations may be in force than it knows.
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
	// Outliers are the verdicts on replicas, where they have changed.
	Outliers *outlier.Table `json:"outliers,omitempty"`

	encode sync.Once
	raw    []byte
	err    error
}

// ReplicaRow is a replica's own word and what the control node makes of its silence.
type ReplicaRow struct {
	ReplicaStatus
	Unreachable bool `json:"dark,omitempty"`
	// Index is the ledger entry that last said what it holds; Units follow the greatest.
	Index uint64 `json:"index,omitempty"`
	// Stale rows come from the ledger: they are where a replica was before the control nodes came back. One that
	// is gone says no more than that the ledger has let it go.
	Stale bool `json:"stale,omitempty"`
}

// PendingOrders are what stands at replicas, numbered by the ledger entry that last touched them: all of it in a
// whole frame, else what has changed since the stream's last.
type PendingOrders struct {
	Number uint64         `json:"number"`
	Rows   []PendingOrder `json:"rows"`
}

// PendingOrder is an order that stands: what will be there, or will not be any more. Without a unit none
// stands there any longer.
type PendingOrder struct {
	Replica string `json:"replica"`
	Unit    string `json:"unit,omitempty"`
	Unload  bool   `json:"unload,omitempty"`
}

const minGzipBytes = 512

// Encoded is the frame as JSON, zipped where that is worthwhile: written once however many gateways it goes
// to. It must not change after.
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
