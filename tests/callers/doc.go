// Package callers sends calls as a client does and notes everything that the client saw, for package rules to
// judge. The fleet of real processes uses it. It never retries: one call is one attempt.
package callers
