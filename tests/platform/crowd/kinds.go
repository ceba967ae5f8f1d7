package crowd

import (
	"fmt"
	"strings"
)

// repeated returns a kind all of whose members send the same script.
func repeated(name string, connections int, script Script) Kind {
	return Kind{Name: name, Connections: connections, Script: func(int) Script { return script }}
}

// Heads without an end, of many short fields, of long fields, of one field, and of a request line alone.
var (
	ShortFields = repeated("short fields", 40, Script{Start: startOfHead + shortFields(80_000)})
	LongFields  = repeated("long fields", 150, Script{Start: startOfHead, Repeat: "X-Long: " + strings.Repeat("v", 8<<10) + "\r\n", MaxBytes: 1 << 20})
	EndlessHead = repeated("endless head", 150, Script{Start: startOfHead, Repeat: "X-More: and more\r\n", MaxBytes: 4 << 20})
	OneField    = repeated("one field", 300, Script{Start: startOfHead + "X-One: ", Repeat: "value", MaxBytes: 4 << 20})
	RequestLine = repeated("request line", 300, Script{Start: "GET /", Repeat: "path", MaxBytes: 4 << 20})
)

// Connections on which nothing, or only line ends, are sent.
var (
	Silent     = repeated("silent", 1500, Script{})
	EmptyLines = repeated("empty lines", 100, Script{Repeat: "\r\n", MaxBytes: 4 << 20})
	BareFeeds  = repeated("bare line feeds", 100, Script{Repeat: "\n", MaxBytes: 4 << 20})
)

const startOfHead = "GET /readiness HTTP/1.1\r\nHost: crowd.example\r\n"

// shortFields returns distinct fields of eight bytes.
func shortFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%05x:\r\n", i)
	}
	return b.String()
}

// EmptyLinesAfter sends line ends without end after a whole request.
func EmptyLinesAfter(name, request string) Kind {
	return repeated("empty lines after "+name, 100, Script{Start: request, Repeat: "\r\n", MaxBytes: 4 << 20})
}

// ShortHeads are heads of many short fields within maxBytes that are never ended.
func ShortHeads(connections, maxBytes int) Kind {
	head := startOfHead + shortFields((maxBytes-len(startOfHead))/8)
	return repeated("short heads", connections, Script{Start: head})
}

// HeldBodies are bodies of which all but the last byte are sent. request is the method and the target.
func HeldBodies(name string, connections int, request, fields string, bytes int) Kind {
	head := fmt.Sprintf("%s HTTP/1.1\r\nHost: crowd.example\r\n%sContent-Length: %d\r\n\r\n", request, fields, bytes)
	return repeated(name, connections, Script{Start: head, Repeat: strings.Repeat("b", writeBytes), MaxBytes: len(head) + bytes - 1})
}

// WholeBodies are whole requests with the same body. request is the method and the target.
func WholeBodies(name string, connections int, request, fields string, body []byte) Kind {
	head := fmt.Sprintf("%s HTTP/1.1\r\nHost: crowd.example\r\n%sContent-Length: %d\r\n\r\n", request, fields, len(body))
	return repeated(name, connections, Script{Start: head + string(body)})
}

// ChunkedBodies are bodies in chunks that are not ended. request is the method and the target.
func ChunkedBodies(name string, connections int, request, fields string, bytes int) Kind {
	head := fmt.Sprintf("%s HTTP/1.1\r\nHost: crowd.example\r\n%sTransfer-Encoding: chunked\r\n\r\n", request, fields)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 8<<10, strings.Repeat("b", 8<<10))
	return repeated(name, connections, Script{Start: head, Repeat: chunk, MaxBytes: len(head) + bytes})
}

// UnreadAnswers are requests, one after the other, whose answers are not read.
func UnreadAnswers(name string, connections int, target string) Kind {
	request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: crowd.example\r\n\r\n", target)
	return repeated(name, connections, Script{Start: request, Repeat: request, MaxBytes: 64 << 10, Unread: true})
}

// NewNames are whole requests, each of which names a model and parts of a prompt that nobody has named before.
func NewNames(connections, requestsOfOne int, host, target string) Kind {
	return Kind{Name: "new names", Connections: connections, Script: func(member int) Script {
		var b strings.Builder
		for n := range requestsOfOne {
			fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: c%d-%d\r\nModel-Name: model-%d-%d/adapter-%d\r\nToken-Counts: 100,10\r\n"+
				"Prompt-Prefix: %x:100\r\nDeadline-Ms: 300\r\nContent-Length: 2\r\n\r\n{}", target, host, member, n, member, n, n, member*requestsOfOne+n)
		}
		return Script{Start: b.String()}
	}}
}
