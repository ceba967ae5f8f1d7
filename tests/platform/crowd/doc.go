// Package crowd opens many connections whose clients do not keep to the limits of a configuration: they send heads and bodies
// without end or not to their end, nothing at all, or do not read what they are sent.
package crowd
