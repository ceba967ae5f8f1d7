// Package httpserver serves HTTP/1.1 to callers that are not trusted to behave. A Server bounds the connections that it has open,
// the memory of the heads that it reads and serves, the bodies that are held, the bytes that wait unread in its sockets, and the time
// that a head, a body and the reading of an answer may take.
//
// Where something must go, the connection that has given least is closed: one that has sent nothing, then the one whose head has been
// under way for longest, then the one whose body has not moved for longest, then one that is idle between two requests. A connection
// whose request has been read whole is never closed to make room. Whether a request is read or not is decided by its connection's Read
// alone: a connection that has been chosen to go gives the server no more bytes, so that no part of a request is ever served.
package httpserver
