// Package scheduling decides, for one gateway, which replica a request goes to, when it waits, when it is sent again
// and when it is refused. It is a reducer that package gateway drives, and the simulator too. It never reads a body,
// opens a connection or knows the form in which requests come.
package scheduling
