// Package examples embeds the example policies, so that tests and the simulator play the same programs that
// operators read. It holds nothing that runs.
package examples

import _ "embed"

// Steady is the source of the policy that brings every model to the count that the scaler gave it.
//
//go:embed policies/steady.star
var Steady string

// Chaser is the source of the policy that reads no counts and holds models where calls wait.
//
//go:embed policies/chaser.star
var Chaser string
