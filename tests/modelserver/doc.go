// Package modelserver stands in for a replica that runs models: it holds them, takes one order at a time, answers
// calls piece by piece, and journals what it did. The fleets start it as processes, and the simulator and the
// testbed drive its Core. It can be told to break its interface on purpose, and otherwise never does.
package modelserver
