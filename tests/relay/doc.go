// Package relay stands between processes on TCP and holds back what goes one way or both between any two of them,
// as a network that loses every packet would. The fleet of real processes uses it. It never changes, drops or
// reorders bytes.
package relay
