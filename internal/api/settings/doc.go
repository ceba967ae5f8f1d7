// Package settings is what a process is told when it starts: the settings of a gateway and of a control node, checked
// field by field. The command line reads them from a file, and the adapter of the users' platform fills them in.
// They never change while a process runs, but for the seeds.
package settings
