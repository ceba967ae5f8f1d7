// Package docs holds tests that compare the pages for readers of the code (docs/ARCHITECTURE.md, docs/RUNBOOK.md) with the
// sources: packages, types, functions, log messages, fault codes and status fields that a page names exist. It has
// no code but its tests.
package docs
