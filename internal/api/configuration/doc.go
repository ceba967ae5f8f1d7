// Package configuration is the configuration that operators declare: models, adapters, kinds of call and policies, or
// routes and services; how it is decoded, checked, merged, edited and looked up. Nearly every package reads it. It
// never fetches anything, and a declaration that was checked is never changed in place.
package configuration
