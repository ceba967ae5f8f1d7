// Package quota enforces tenants' request rate limits over all gateways. The ledgers run at the control nodes: a gateway asks
// for one token for each limited request before it sends that request to a replica, and a Ledger grants or refuses the token.
//
// For a tenant with rate r and burst b, at most (r*W + b)*(1 + overshoot) + slack requests are passed in any window of length
// W. The part above r*W + b is the allowance A. A is divided statically:
//
//   - mainShare of A deepens the main token bucket, which the tail of the chain keeps. The main bucket grants at most
//     b + mainShare*A + r*W in any window, also across a change of the tail.
//   - reserveShare of A is divided evenly among the voters and those members that may have been lost but still run. Each may
//     grant its part in any window, without coordination, to gateways that do not reach the tail.
//   - The rest covers clocks that run at different rates.
//
// So the bound holds under any network partition, and it needs no agreement and no stored state. A request counts in a window
// if it is both sent and received within that window, and the time of its grant lies between the two. Gateways hold no
// tokens, and their clocks do not matter.
package quota
