package crowd_test

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"petreltide/tests/platform/crowd"
	"petreltide/tests/platform/fleet"
)

// The limits that the settings of the tests state, and the descriptors of them that are reserved for files.
const (
	memoryMB            = 160
	descriptors         = 1200
	reservedDescriptors = 200
)

// maxTries bounds the tries of an ordinary caller. It turns to a node again where it was refused or its connection was closed.
const (
	maxTries    = 40
	tryTimeout  = 5 * time.Second
	tryInterval = 250 * time.Millisecond
)

// target is one listener of one process.
type target struct {
	name    string
	process func(*fleet.Fleet) fleet.Process
	address func(fleet.Process) string
	// path is asked for by an ordinary caller of this listener, by GET. It is empty for the clients' one, whose callers send a request.
	path string
}

var (
	gateway     = func(f *fleet.Fleet) fleet.Process { return f.Gateways()[0] }
	controlNode = func(f *fleet.Fleet) fleet.Process { return f.ControlNodes()[0] }

	clients      = target{"clients", gateway, func(p fleet.Process) string { return p.Clients }, ""}
	readiness    = target{"readiness", gateway, func(p fleet.Process) string { return p.Readiness }, "/readiness"}
	gatewayOwn   = target{"gateway's own interface", gateway, func(p fleet.Process) string { return p.Internal }, "/v1/status"}
	controlPlane = target{"control plane", controlNode, func(p fleet.Process) string { return p.ControlPlane }, "/configuration/read"}
	nodeOwn      = target{"control node's own interface", controlNode, func(p fleet.Process) string { return p.Internal }, "/v1/status"}
	every        = []target{clients, readiness, gatewayOwn, controlPlane, nodeOwn}
)

// program builds the product for a test.
func program(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "petreltide")
	if out, err := exec.Command("go", "build", "-o", path, "petreltide/cmd/petreltide").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// startFleet starts a fleet with one gateway whose processes have the limits of these tests.
func startFleet(t *testing.T, plan fleet.Plan) *fleet.Fleet {
	t.Helper()
	plan.Folder, plan.ControlNodes, plan.Gateways, plan.Cards, plan.Logs, plan.Seed = folder(t), 3, 1, 1, 1, 1
	plan.MemoryMB, plan.Descriptors = memoryMB, descriptors
	f, err := fleet.New(plan)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	if err := f.StartReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	return f
}

// withstand opens a crowd at each target, each on a fleet of its own, and checks what must hold of the process: it lives, its memory and
// its descriptors stay under its limits, and ordinary callers of that listener and of the gateway are answered, while the crowd is there and
// after it has gone.
func withstand(t *testing.T, kind crowd.Kind, targets ...target) {
	t.Helper()
	withstandWith(t, fleet.Plan{}, kind, targets...)
}

// withstandWith is withstand on fleets of a plan.
func withstandWith(t *testing.T, plan fleet.Plan, kind crowd.Kind, targets ...target) {
	t.Helper()
	plan.Petreltide = program(t)
	for _, at := range targets {
		t.Run(strings.ReplaceAll(kind.Name+" at "+at.name, " ", "_"), func(t *testing.T) {
			f := startFleet(t, plan)
			p := at.process(f)
			calm := peakResidentBytes(p.PID)
			seen := watch(p)
			c := crowd.Open(t.Context(), at.address(p), kind)
			c.Settle()
			callOrdinarily(t, f, at, "beside the crowd")
			c.Close()
			callOrdinarily(t, f, at, "after the crowd")
			most := seen.stop()
			t.Logf("calm %d MB; with the crowd: resident %d MB, unread %d MB, %d descriptors", calm>>20, most.residentBytes>>20, most.unreadBytes>>20, most.descriptors)
			if !p.Alive() {
				t.Fatalf("%s has ended: %.2000s", p.Name, p.Said())
			}
			if held := most.residentBytes + most.unreadBytes; held > memoryMB<<20 {
				t.Errorf("memory of %s, unread bytes with it: got %d MB, want at most %d", p.Name, held>>20, memoryMB)
			}
			if limit := descriptors - reservedDescriptors; most.descriptors > limit {
				t.Errorf("open descriptors of %s: got %d, want at most %d", p.Name, most.descriptors, limit)
			}
		})
	}
}

// callOrdinarily checks that an ordinary caller of a listener is answered, and one of the gateway's clients.
func callOrdinarily(t *testing.T, f *fleet.Fleet, at target, when string) {
	t.Helper()
	if at.path != "" {
		get := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: ordinary.example\r\nConnection: close\r\n\r\n", at.path)
		if err := callUntilAnswered(at.address(at.process(f)), get); err != nil {
			t.Errorf("ordinary caller of %s, %s: %v", at.name, when, err)
		}
	}
	if err := callUntilAnswered(gateway(f).Clients, ordinaryRequest); err != nil {
		t.Errorf("ordinary client, %s: %v", when, err)
	}
}

const ordinaryRequest = "POST /grade/1f HTTP/1.1\r\nHost: cards.example\r\nRequest-Id: ordinary\r\nDeadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 6\r\n\r\nc1/1\r\n"

// callUntilAnswered sends a request until it is answered with 200, on a new connection each time.
func callUntilAnswered(address, request string) error {
	var last error
	for range maxTries {
		status, err := call(address, request)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if last = err; err == nil {
			last = fmt.Errorf("status %d", status)
		}
		time.Sleep(tryInterval)
	}
	return fmt.Errorf("no 200 in %d tries, the last: %w", maxTries, last)
}

// call sends a request on a connection of its own and returns the status of its answer, once it has been read whole.
func call(address, request string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, tryTimeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(tryTimeout))
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

func skipIfShort(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("it starts processes")
	}
}

func TestHeadsOfShortFields(t *testing.T) {
	skipIfShort(t)
	withstand(t, crowd.ShortFields, every...)
}

func TestHeadsOfLongFields(t *testing.T) {
	skipIfShort(t)
	withstand(t, crowd.LongFields, every...)
}

func TestHeadsWithoutEnd(t *testing.T) {
	skipIfShort(t)
	withstand(t, crowd.EndlessHead, every...)
}

func TestFieldWithoutEnd(t *testing.T) {
	skipIfShort(t)
	withstand(t, crowd.OneField, every...)
}

func TestRequestLineWithoutEnd(t *testing.T) {
	skipIfShort(t)
	withstand(t, crowd.RequestLine, every...)
}

// Heads within the limit of the configuration cost many times their bytes, too.
func TestManyHeadsWithinTheLimit(t *testing.T) {
	skipIfShort(t)
	withstand(t, crowd.ShortHeads(700, 16<<10), every...)
}

func TestSilentConnections(t *testing.T) {
	skipIfShort(t)
	withstand(t, crowd.Silent, every...)
}

func TestEmptyLinesBeforeRequest(t *testing.T) {
	skipIfShort(t)
	withstand(t, crowd.EmptyLines, every...)
	withstand(t, crowd.BareFeeds, clients, controlPlane)
}

func TestEmptyLinesAfterRequest(t *testing.T) {
	skipIfShort(t)
	withstand(t, crowd.EmptyLinesAfter("a request", strings.Replace(ordinaryRequest, "Connection: close\r\n", "", 1)), clients)
	withstand(t, crowd.EmptyLinesAfter("a request", "GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n"), readiness)
	withstand(t, crowd.EmptyLinesAfter("a request", "POST /configuration/replace HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"), controlPlane)
}

// While a request waits, nothing of its connection is read. The bytes behind it stay in the socket, and count as memory.
func TestEmptyLinesBehindWaitingRequest(t *testing.T) {
	skipIfShort(t)
	withstand(t, crowd.EmptyLinesAfter("a waiting request", waitingRequest), clients)
}

// waitingRequest names a model that nobody has declared.
const waitingRequest = "POST /rebuild/1f HTTP/1.1\r\nHost: cards.example\r\nRequest-Id: waits\r\nModel-Name: undeclared\r\nToken-Counts: 100,10\r\nContent-Length: 2\r\n\r\n{}"

func TestBodiesHeldOpen(t *testing.T) {
	skipIfShort(t)
	withstand(t, crowd.HeldBodies("held bodies", 200, "POST /grade/1f", "Request-Id: crowd\r\n", 2<<20), clients)
	withstand(t, crowd.HeldBodies("held bodies without a route", 200, "POST /nowhere", "Request-Id: crowd\r\n", 2<<20), clients)
	withstand(t, crowd.HeldBodies("held bodies of long patience", 200, "POST /nowhere", "Deadline-Ms: 1000000000\r\n", 2<<20), clients)
	withstand(t, crowd.ChunkedBodies("held chunks", 200, "POST /grade/1f", "Request-Id: crowd\r\n", 2<<20), clients)
	withstand(t, crowd.HeldBodies("bodies nobody wants", 200, "POST /readiness", "", 2<<20), readiness)
}

func TestConfigurationsHeldOpen(t *testing.T) {
	skipIfShort(t)
	withstand(t, crowd.HeldBodies("held configurations", 20, "POST /configuration/replace", "Based-On-Version: 1\r\n", 15<<20), controlPlane)
	withstand(t, crowd.HeldBodies("held updates", 20, "POST /configuration/update", "Based-On-Version: 1\r\n", 15<<20), controlPlane)
}

func TestHeartbeatsHeldOpen(t *testing.T) {
	skipIfShort(t)
	withstand(t, crowd.HeldBodies("held heartbeats", 200, "POST /instances/i-crowd/heartbeat", "", 1<<20), controlPlane)
}

func TestMessagesHeldOpen(t *testing.T) {
	skipIfShort(t)
	withstand(t, crowd.HeldBodies("held messages", 100, "POST /petreltide.Node/Beat", "Content-Type: application/json\r\n", 4<<20), gatewayOwn)
	withstand(t, crowd.HeldBodies("held calls", 100, "POST /v1/calls", "Content-Type: application/json\r\n", 4<<20), gatewayOwn)
	withstand(t, crowd.HeldBodies("held batches", 100, "POST /petreltide.Office/Post", "Content-Type: application/json\r\n", 4<<20), nodeOwn)
	withstand(t, crowd.HeldBodies("held declarations", 100, "PUT /v1/config?base=0", "", 4<<20-1), nodeOwn)
}

// Configurations that are sent whole are decoded, which takes many times their bytes.
func TestWholeConfigurations(t *testing.T) {
	skipIfShort(t)
	withstand(t, crowd.WholeBodies("whole configurations", 10, "POST /configuration/replace", "Based-On-Version: 1\r\n", largeConfiguration(4<<20)), controlPlane)
}

// largeConfiguration is a configuration of so many bytes whose routes name a service that does not exist.
func largeConfiguration(bytes int) []byte {
	var b strings.Builder
	b.WriteString(`{"version":1000000,"services":[],"limits":{},"routes":[{}`)
	for n := 0; b.Len() < bytes; n++ {
		fmt.Fprintf(&b, `,{"name":"r%d","hostName":"h.example","pathPrefix":"/p%d/","routeKind":"idempotent","timeoutMs":1000,"service":"none"}`, n, n)
	}
	b.WriteString("]}")
	return []byte(b.String())
}

// Messages between nodes may be compressed; a few bytes then stand for many.
func TestCompressedMessages(t *testing.T) {
	skipIfShort(t)
	var packed bytes.Buffer
	z := gzip.NewWriter(&packed)
	for range 200 {
		_, _ = z.Write(bytes.Repeat([]byte(" "), 1<<20))
	}
	_ = z.Close()
	const fields = "Content-Type: application/json\r\n"
	withstand(t, crowd.WholeBodies("compressed messages", 10, "POST /petreltide.Node/Beat", fields, packed.Bytes()), gatewayOwn, nodeOwn)
	withstand(t, crowd.WholeBodies("messages compressed in transit", 10, "POST /petreltide.Node/Beat", fields+"Content-Encoding: gzip\r\n", packed.Bytes()), gatewayOwn, nodeOwn)
}

func TestAnswersNotRead(t *testing.T) {
	skipIfShort(t)
	withstand(t, crowd.UnreadAnswers("unread logs", 300, "/v1/log"), gatewayOwn, nodeOwn)
	withstand(t, crowd.UnreadAnswers("unread states", 300, "/v1/state"), nodeOwn)
	withstand(t, crowd.UnreadAnswers("unread configurations", 300, "/configuration/read"), controlPlane)
}

// Answers that are large and not read stay in the memory of the process that made them.
func TestLargeAnswersNotRead(t *testing.T) {
	skipIfShort(t)
	large := fleet.Plan{MoreRoutes: 3000}
	withstandWith(t, large, crowd.UnreadAnswers("large configurations", 300, "/configuration/read"), controlPlane)
	withstandWith(t, large, crowd.UnreadAnswers("large states", 300, "/v1/state"), nodeOwn)
	withstandWith(t, large, crowd.UnreadAnswers("large declarations", 300, "/v1/config"), nodeOwn)
}

func TestNamesThatNobodyDeclared(t *testing.T) {
	skipIfShort(t)
	withstand(t, crowd.NewNames(300, 30, "cards.example", "/deck/1f"), clients)
}
