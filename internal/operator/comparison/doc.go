// Package comparison compares two placement policies on a live fleet in alternating time windows, and reports the
// paired differences with their confidence intervals. The command line's compare calls it. It changes nothing but
// the policy in force, and puts the one that it found back at its end, or says that it could not.
package comparison
