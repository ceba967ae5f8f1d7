// Package fleet runs real processes of the product on one machine with stand-in replicas and demand, causes
// faults, and gathers what callers, replicas and operators saw for package rules. The fleet command and its tests
// call it. It judges nothing itself but the share of calls served and whether the last configuration stands, and
// ends only processes that it started.
package fleet
