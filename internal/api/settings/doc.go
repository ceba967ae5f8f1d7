// Package settings defines the startup settings of a gateway and of a control node, and validates them field by field. The
// command line reads them from a file, and the adapter of the users' platform fills them in. Except for the seeds, they do
// not change while a process runs.
package settings
