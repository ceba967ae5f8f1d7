// Package systempackages compares the system packages that deploy/system.toml names with what a clean build needs:
// it runs the file's own build command on an empty build cache, notes the programs, headers and libraries used, and
// asks Debian's package database whose they are. Only its tests call it. It installs nothing, and it never asks a
// package registry.
package systempackages
