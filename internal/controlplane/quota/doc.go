// Package quota counts the requests of each tenant over the whole fleet, at the control nodes. A gateway asks for a token
// for each limited request before it sends the request to a replica; Ledger grants or refuses it.
//
// What may be passed of a tenant with rate r and burst b in any window W is (r*W + b)*(1 + overshoot) + slack. The part
// above r*W + b is the allowance A. It is divided once and for all:
//
//   - mainShare of A deepens the token bucket that the tail of the chain keeps, the main book: at most b + mainShare*A + r*W
//     in any window, also over a change of the tail;
//   - reserveShare of A is divided evenly among the voters, and those that may have been lost and run on. Each may grant its
//     part in any window without a word to anybody, to gateways that do not reach the tail;
//   - the rest is for clocks that run at different rates.
//
// So the bound holds whoever is cut off from whom, and nothing is agreed or stored. What counts in a window is both sent and
// arrives in it, and the instant of a grant lies between the two; a gateway holds no tokens, and its clock does not matter.
package quota
