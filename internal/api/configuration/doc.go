// Package configuration is the configuration that operators declare, and the checks that a declaration and an edit of it
// must pass: how it is decoded, checked, merged, edited and looked up. Nearly every package reads it. It never fetches
// anything, and a declaration that was checked is never changed in place.
//
// A Declaration has one of two forms. By kinds, for petreltide's own interface: models, adapters, kinds of call with their
// priority, and a placement policy; it is replaced or patched under a revision. By routes, for the users' platform:
// routes and services, of which some have an engine with models; it is replaced or edited under the operators' own
// version numbers. Declaration.Routed tells which one it is. They are two because each interface fixes its own form, and
// one declaration is never of both.
package configuration
