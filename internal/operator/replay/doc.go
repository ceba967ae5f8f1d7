// Package replay reads a recording of calls in the HAR form and plays it against a gateway, at the recorded pace
// or a multiple of it. The command line's replay calls it. It sends the recorded bodies as they are, each once.
package replay
