// Package golden holds tests alone. They pin the form of all that is sent, stored, set or answered: records of the chain
// and snapshots, the state and its changes, frames, reports, leases and orders, settings, declarations and edits, answers
// to operators, fault codes. The files in testdata were written by the code of commit 11c16aa, before its names changed.
// A form that is added gets its line with PETRELTIDE_GOLDEN=update; the diff of testdata shows what else changed.
package golden
