// Package fault defines the error type that all packages and processes exchange: a code, the field concerned and, for a
// request, whether it ran. Every other package uses it. It makes no decisions and maps no code to an HTTP status; the
// interfaces do that.
package fault
