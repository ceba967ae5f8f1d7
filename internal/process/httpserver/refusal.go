package httpserver

import "fmt"

// refusal is the reason for which the server refuses a request before its head is whole.
type refusal int

// The reasons. refusalNone means that the request is read on.
const (
	refusalNone refusal = iota
	refusalHeadTooLarge
	refusalHeadsFull
	refusalCount
)

var refusalNames = [refusalCount]string{"", "head_too_large", "heads_full"}

func (r refusal) String() string { return refusalNames[r] }

// response returns the response that a refused client is sent. Both statuses say that the request has not run.
func (r refusal) response() string {
	status, field, text := "431 Request Header Fields Too Large", "", "too_large\n"
	if r == refusalHeadsFull {
		status, field, text = "503 Service Unavailable", "Retry-After: 1\r\n", "overloaded\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, field, len(text), text)
}
