// Package brief holds tests that compare pages of docs with the code: tests and faults that a page names exist,
// and every fault is named. It has no code but its tests.
package brief
