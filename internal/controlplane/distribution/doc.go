// Package distribution decides what control nodes push to gateways: numbered news with acknowledgements and leases from the
// chain's tail (Room), and frames of differences from any control node (Hub). It is a reducer that package controlnode
// drives. It never changes the state that it tells of.
package distribution
