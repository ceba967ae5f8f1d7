package examples

import _ "embed"

//go:embed policies/steady.star
var Steady string

//go:embed policies/chaser.star
var Chaser string
