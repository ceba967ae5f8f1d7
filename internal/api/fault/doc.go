// Package fault is the one form in which something that went wrong is told across packages and processes: a code,
// the field concerned, and for a request whether it ran. Every other package uses it. It decides nothing and maps
// no code to a status; the interfaces do that.
package fault
