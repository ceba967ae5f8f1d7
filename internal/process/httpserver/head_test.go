package httpserver

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// headSeeds are heads as browsers, proxies and scripts send them, and such as nobody should.
var headSeeds = []string{
	"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET / HTTP/1.1\nHost: h\n\n",
	"POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbodyGET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nX-Folded: a\r\n b\r\n\tc\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nX-Blank: a\r\n  \r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nX:\r\nY:\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nX: a\rb\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nX: a\r\r\n\r\n",
	"\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"\n\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nUser-Agent: Mozilla/5.0 (X11; Linux x86_64) AppleWebKit/537.36 (KHTML, like Gecko) Chrome/126.0 Safari/537.36\r\n" +
		"Accept: text/html,application/xhtml+xml,*/*;q=0.8\r\nAccept-Encoding: gzip, deflate, br, zstd\r\nCookie: a=b; c=d\r\nSec-Fetch-Mode: navigate\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nVia: 1.1 proxy\r\nX-Forwarded-For: 203.0.113.9, 198.51.100.7\r\nForwarded: for=203.0.113.9;proto=https\r\nConnection: keep-alive\r\n\r\n",
	"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	"\x16\x03\x01\x02\x00\x01",
	"GET / HTTP/1.1\r\n\r\n",
	strings.Repeat("\r\n", 40),
}

// FuzzHeadScannerAgreesWithServer holds the scanner to net/http: whatever head net/http reads ends where the scanner finds its end,
// however the bytes are cut into pieces.
func FuzzHeadScannerAgreesWithServer(f *testing.F) {
	for i, raw := range headSeeds {
		f.Add([]byte(raw), uint8(i))
	}
	f.Fuzz(func(t *testing.T, raw []byte, cut uint8) {
		whole, end := scanInPieces(raw, len(raw)+1)
		if cutWhole, cutEnd := scanInPieces(raw, 1+int(cut)%7); cutWhole != whole || cutEnd != end {
			t.Fatalf("scan in pieces: got end %d (complete %v), want %d (complete %v)", cutEnd, cutWhole, end, whole)
		}
		source := bytes.NewReader(raw)
		in := bufio.NewReader(source)
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		if read := len(raw) - source.Len() - in.Buffered(); !whole || end != read {
			t.Fatalf("head %q: got end %d (complete %v), want %d as net/http reads it", raw, end, whole, read)
		}
	})
}

// scanInPieces scans raw in pieces of a size, and returns whether it found the end of the head, and where.
func scanInPieces(raw []byte, size int) (complete bool, end int) {
	var s headScanner
	for at := 0; at < len(raw) && !s.complete; at += size {
		end += s.scan(raw[at:min(at+size, len(raw))])
	}
	return s.complete, end
}

// The memory that is counted for a head grows with its fields, not with its bytes alone.
func TestCostOfHeadGrowsWithItsFields(t *testing.T) {
	var short, long headScanner
	short.scan([]byte("GET / HTTP/1.1\r\n" + strings.Repeat("x:\r\n", 1000)))
	long.scan([]byte("GET / HTTP/1.1\r\nx:" + strings.Repeat("v", 4*1000-4) + "\r\n"))
	if short.bytes != long.bytes || short.cost() < long.cost()+999*fieldCostBytes {
		t.Errorf("cost of %d bytes in 1000 fields: got %d, want %d more than the %d of one field", short.bytes, short.cost(), 999*fieldCostBytes, long.cost())
	}
}

func ExampleServer_Status() {
	s := New(http.NotFoundHandler(), Limits{MaxConnections: 10})
	fmt.Println(s.Status().MaxConnections)
	// Output: 10
}
