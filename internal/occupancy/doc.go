// Package occupancy measures how many attempts wait at each replica for their first piece, over all gateways, so that
// a gateway that sends only a small part of a service's calls still knows which replicas are behind.
package occupancy
