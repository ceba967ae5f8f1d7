package rpc

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
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

func (plain) Unmarshal(raw []byte, v any) error { return json.Unmarshal(raw, v) }

const (
	PostPath   = "/petreltide.Office/Post"
	WherePath  = "/petreltide.Office/Where"
	SubmitPath = "/petreltide.Office/Submit"
	FollowPath = "/petreltide.Office/Follow"
	AckPath    = "/petreltide.Office/Ack"
	BeatPath   = "/petreltide.Node/Beat"
	FramesPath = "/petreltide.Office/Frames"
	TellPath   = "/petreltide.Office/Tell"
	ReadPath   = "/petreltide.Office/Read"
	readMost   = 256 << 20
)

// Client dials from the IP that this process listens on, so that partners see the address they know.
func Client(dialMs int, listen string) *http.Client {
	dialer := &net.Dialer{Timeout: time.Duration(dialMs) * time.Millisecond, KeepAlive: 5 * time.Second}
	if host, _, err := net.SplitHostPort(listen); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			dialer.LocalAddr = &net.TCPAddr{IP: ip}
		}
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 32,
		IdleConnTimeout:     30 * time.Second,
	}}
}

type Caller[Req, Res any] struct {
	client *connect.Client[Req, Res]
}

func NewCaller[Req, Res any](h *http.Client, addr, path string) *Caller[Req, Res] {
	return &Caller[Req, Res]{client: connect.NewClient[Req, Res](h, "http://"+addr+path,
		connect.WithCodec(plain{}), connect.WithReadMaxBytes(readMost))}
}

func (c *Caller[Req, Res]) Call(ctx context.Context, req *Req) (*Res, error) {
	res, err := c.client.CallUnary(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

func (c *Caller[Req, Res]) Stream(ctx context.Context, req *Req) (*connect.ServerStreamForClient[Res], error) {
	return c.client.CallServerStream(ctx, connect.NewRequest(req))
}

func Serve[Req, Res any](mux *http.ServeMux, path string, serve func(context.Context, *Req) (*Res, error)) {
	mux.Handle(path, connect.NewUnaryHandler(path, func(ctx context.Context, req *connect.Request[Req]) (*connect.Response[Res], error) {
		res, err := serve(ctx, req.Msg)
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(res), nil
	}, connect.WithCodec(plain{}), connect.WithReadMaxBytes(readMost)))
}

func ServeStream[Req, Res any](mux *http.ServeMux, path string, serve func(context.Context, *Req, func(*Res) error) error) {
	mux.Handle(path, connect.NewServerStreamHandler(path, func(ctx context.Context, req *connect.Request[Req], stream *connect.ServerStream[Res]) error {
		if err := serve(ctx, req.Msg, stream.Send); err != nil {
			return connect.NewError(connect.CodeUnavailable, err)
		}
		return nil
	}, connect.WithCodec(plain{}), connect.WithReadMaxBytes(readMost)))
}
