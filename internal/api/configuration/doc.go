// Package configuration defines the configuration that operators declare: how it is decoded, validated, merged, edited and
// looked up. Nearly every package reads it. The package performs no network access, and a validated declaration is never
// modified in place.
//
// A Declaration has one of two forms, which Declaration.Routed distinguishes:
//
//   - By kinds, for petreltide's own interface: models, adapters, kinds of call with their priority, and a placement policy.
//     It is replaced or patched under a revision.
//   - By routes, for the users' platform: routes and services, some of which have an engine with models. It is replaced or
//     edited under the operators' own version numbers.
//
// There are two forms because each interface prescribes its own; a declaration never has both.
package configuration
