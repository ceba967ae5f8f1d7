package rpc

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
)

// plain carries ordinary structs as JSON between our own processes.
type plain struct{}

func (plain) Name() string { return "json" }
func (plain) Marshal(v any) ([]byte, error) {
	if e, once := v.(interface{ Encoded() ([]byte, error) }); once {
		return e.Encoded()
	}
	return json.Marshal(v)
}

// Unmarshal also takes what its writer has zipped: JSON never begins with these two bytes.
func (plain) Unmarshal(raw []byte, v any) error {
	if len(raw) < 2 || raw[0] != 0x1f || raw[1] != 0x8b {
		return json.Unmarshal(raw, v)
	}
	z := unzippers.Get().(*gzip.Reader)
	defer unzippers.Put(z)
	if err := z.Reset(bytes.NewReader(raw)); err != nil {
		return err
	}
	bare, err := io.ReadAll(io.LimitReader(z, maxReadBytes+1))
	if err != nil {
		return err
	}
	if len(bare) > maxReadBytes {
		return connect.NewError(connect.CodeResourceExhausted, io.ErrShortBuffer)
	}
	return json.Unmarshal(bare, v)
}

var unzippers = sync.Pool{New: func() any { return new(gzip.Reader) }}

// Paths of the procedures that control nodes and gateways serve to each other.
const (
	BatchPath    = "/petreltide.Office/Post"
	WherePath    = "/petreltide.Office/Where"
	SubmitPath   = "/petreltide.Office/Submit"
	FollowPath   = "/petreltide.Office/Follow"
	AckPath      = "/petreltide.Office/Ack"
	BeatPath     = "/petreltide.Node/Beat"
	FramesPath   = "/petreltide.Office/Frames"
	TellPath     = "/petreltide.Office/Tell"
	ReadPath     = "/petreltide.Office/Read"
	QuotaPath    = "/petreltide.Office/Quota"
	maxReadBytes = 256 << 20
	// zipLeast is the least answer that is worth zipping: most are a few bytes.
	zipLeast = 2048
)

// Encoded streams carry messages that their writer has zipped once for all who read them.
var Encoded = connect.WithCompressMinBytes(math.MaxInt)

// Client dials from the IP that this process listens on, so that peers see the address they know.
func Client(dialMs int, listen string) *http.Client {
	return clientOf(dialerFor(dialMs, listen).DialContext)
}

// NodeClient is a Client for control nodes and gateways among themselves, who may dial a machine just as it comes back.
func NodeClient(dialMs int, listen string) *http.Client {
	dialer := dialerFor(dialMs, listen)
	return clientOf((&redialer{dial: dialer.DialContext, timeout: dialer.Timeout, after: time.After}).DialContext)
}

func dialerFor(dialMs int, listen string) *net.Dialer {
	dialer := &net.Dialer{Timeout: time.Duration(dialMs) * time.Millisecond, KeepAlive: 5 * time.Second}
	if host, _, err := net.SplitHostPort(listen); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			dialer.LocalAddr = &net.TCPAddr{IP: ip}
		}
	}
	return dialer
}

func clientOf(dial dialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: 32,
		IdleConnTimeout:     30 * time.Second,
	}}
}

// Caller calls one procedure at one address. It is safe for use by several goroutines.
type Caller[Req, Res any] struct {
	client *connect.Client[Req, Res]
}

// NewCaller makes a caller of the procedure at a path; h bounds how long dialling may take.
func NewCaller[Req, Res any](h *http.Client, addr, path string) *Caller[Req, Res] {
	return &Caller[Req, Res]{client: connect.NewClient[Req, Res](h, "http://"+addr+path,
		connect.WithCodec(plain{}), connect.WithReadMaxBytes(maxReadBytes))}
}

// Call sends one request and waits for its answer. It is sent once: whether to send again is for who calls.
func (c *Caller[Req, Res]) Call(ctx context.Context, req *Req) (*Res, error) {
	res, err := c.client.CallUnary(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// Stream sends one request and returns the stream of its answers, which ends with ctx.
func (c *Caller[Req, Res]) Stream(ctx context.Context, req *Req) (*connect.ServerStreamForClient[Res], error) {
	return c.client.CallServerStream(ctx, connect.NewRequest(req))
}

// Serve answers a procedure of one request and one answer at a path; an error reaches the caller as unavailable.
func Serve[Req, Res any](mux *http.ServeMux, path string, serve func(context.Context, *Req) (*Res, error)) {
	mux.Handle(path, connect.NewUnaryHandler(path, func(ctx context.Context, req *connect.Request[Req]) (*connect.Response[Res], error) {
		res, err := serve(ctx, req.Msg)
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(res), nil
	}, connect.WithCodec(plain{}), connect.WithReadMaxBytes(maxReadBytes), connect.WithCompressMinBytes(zipLeast)))
}

// ServeStream answers a procedure whose answers are sent one by one, until serve returns.
func ServeStream[Req, Res any](mux *http.ServeMux, path string, serve func(context.Context, *Req, func(*Res) error) error, opts ...connect.HandlerOption) {
	mux.Handle(path, connect.NewServerStreamHandler(path, func(ctx context.Context, req *connect.Request[Req], stream *connect.ServerStream[Res]) error {
		if err := serve(ctx, req.Msg, stream.Send); err != nil {
			return connect.NewError(connect.CodeUnavailable, err)
		}
		return nil
	}, append([]connect.HandlerOption{connect.WithCodec(plain{}), connect.WithReadMaxBytes(maxReadBytes), connect.WithCompressMinBytes(zipLeast)}, opts...)...))
}
