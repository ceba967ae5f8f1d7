package rpc

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

// plain is the Connect codec that encodes plain structs as JSON.
type plain struct{}

func (plain) Name() string { return "json" }
func (plain) Marshal(v any) ([]byte, error) {
	if e, once := v.(interface{ Encoded() ([]byte, error) }); once {
		return e.Encoded()
	}
	return json.Marshal(v)
}

// Unmarshal also accepts messages that the sender compressed with gzip, which it detects by the first two bytes; JSON never
// begins with these.
func (plain) Unmarshal(raw []byte, v any) error {
	if len(raw) < 2 || raw[0] != 0x1f || raw[1] != 0x8b {
		return json.Unmarshal(raw, v)
	}
	bare, release, err := expansions.expand(raw)
	defer release()
	if err != nil {
		return err
	}
	return json.Unmarshal(bare, v)
}

// Paths of the procedures that control nodes and gateways serve to each other, and limits of messages in bytes.
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
	// minCompressBytes is the minimum size of a message that is compressed: most have only a few bytes.
	minCompressBytes = 2048
)

// Encoded is the handler option for streams of messages that the sender has already encoded and compressed, once for all
// receivers. It disables compression by Connect.
var Encoded = connect.WithCompressMinBytes(math.MaxInt)

// Client returns an HTTP client that dials from the IP address that this process listens on, so that peers see the address
// that they know. dialMs is the dial timeout.
func Client(dialMs int, listen string) *http.Client {
	return clientOf(dialerFor(dialMs, listen).DialContext)
}

// NodeClient is like Client, for connections between control nodes and gateways. It starts further attempts if one is not
// answered, as the peer's machine may be just coming back up.
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

// Caller calls one procedure at one address. It is safe for concurrent use.
type Caller[Req, Res any] struct {
	client *connect.Client[Req, Res]
}

// NewCaller returns a caller of the procedure at a path. The HTTP client determines the dial timeout.
func NewCaller[Req, Res any](h *http.Client, addr, path string) *Caller[Req, Res] {
	return &Caller[Req, Res]{client: connect.NewClient[Req, Res](h, "http://"+addr+path,
		connect.WithCodec(plain{}), connect.WithReadMaxBytes(maxReadBytes))}
}

// Call sends one request and waits for its response. It does not retry; that is left to its caller.
func (c *Caller[Req, Res]) Call(ctx context.Context, req *Req) (*Res, error) {
	res, err := c.client.CallUnary(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// Stream sends one request and returns the stream of responses, which ends when ctx is done.
func (c *Caller[Req, Res]) Stream(ctx context.Context, req *Req) (*connect.ServerStreamForClient[Res], error) {
	return c.client.CallServerStream(ctx, connect.NewRequest(req))
}

// Serve registers the handler of a unary procedure at a path. The caller receives an error of serve with the code
// unavailable.
func Serve[Req, Res any](mux *http.ServeMux, path string, serve func(context.Context, *Req) (*Res, error)) {
	mux.Handle(path, connect.NewUnaryHandler(path, func(ctx context.Context, req *connect.Request[Req]) (*connect.Response[Res], error) {
		res, err := serve(ctx, req.Msg)
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(res), nil
	}, connect.WithCodec(plain{}), responseCompression, connect.WithReadMaxBytes(maxReadBytes), connect.WithCompressMinBytes(minCompressBytes)))
}

// ServeStream registers the handler of a server-streaming procedure at a path. The stream ends when serve returns.
func ServeStream[Req, Res any](mux *http.ServeMux, path string, serve func(context.Context, *Req, func(*Res) error) error, opts ...connect.HandlerOption) {
	mux.Handle(path, connect.NewServerStreamHandler(path, func(ctx context.Context, req *connect.Request[Req], stream *connect.ServerStream[Res]) error {
		if err := serve(ctx, req.Msg, stream.Send); err != nil {
			return connect.NewError(connect.CodeUnavailable, err)
		}
		return nil
	}, append([]connect.HandlerOption{connect.WithCodec(plain{}), responseCompression, connect.WithReadMaxBytes(maxReadBytes), connect.WithCompressMinBytes(minCompressBytes)}, opts...)...))
}
