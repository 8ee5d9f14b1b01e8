// Package decisiontrace tests the decisions of the packages scheduler (the leader), partition
// (an owner's machines) and autoscaler against golden files. These packages are pure: their
// decisions depend only on the times and messages passed in. The tests generate histories from
// fixed seeds, connect one or several owners with a leader as the controller does, and record
// each decision as a line, in the form in which it is sent or stored. The trace is thus
// independent of names in the code and changes only if a decision does.
//
// The files in testdata were generated from the code at commit 9774d0c and must not be
// regenerated: a difference is a change of behaviour. A commit that changes decisions on purpose
// says so and replaces them by
//
//	go test ./internal/decisiontrace -trace-write
//
// No automatic check may pass this flag. To find a difference, write the full traces of two
// versions and compare them:
//
//	go test -count=1 ./internal/decisiontrace -trace-dump /tmp/before
//
// A golden file has a line per step: the step's number, eight hexadecimal digits of a digest of
// the trace up to the end of the step, and four digits of a digest of each of the step's lines.
//
// Two kinds of data have no defined order and are sorted before they are recorded. Commands for
// tasks that a worker agent reports but that have no placement come from a map: those of the same verb
// are sorted by task, and all other commands keep their order. Maps, also stored ones, are
// recorded with sorted keys. Everything else is recorded in its original order.
//
// Sums of floating-point numbers over maps may differ in their last bit from run to run. The
// histories use sizes and times whose sums are exact, so that this never changes a decision.
package decisiontrace
