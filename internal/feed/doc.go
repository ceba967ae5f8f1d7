// Package feed decides what core nodes push to gateways: numbered news with acknowledgements and leases from the
// chain's tail (Room), and frames of differences from any core node (Hub). It is a reducer that package office
// drives. It never changes the state that it tells of.
package feed
