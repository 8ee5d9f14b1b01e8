// Package decisiontrace holds a golden record of what the deciding packages decide:
// scheduler (the leader), partition (an owner's machines) and autoscaler. They
// are pure: time and messages go in, decisions come out. Its tests draw histories from fixed
// seeds, let one or several owners work with one leader as the controller would, and write
// each decision down as a line, in the form in which it is sent or stored. So names in the
// code may change, and the trace stays the same as long as the decisions do.
//
// The files in testdata were made from the code at commit 9774d0c and are not to be
// regenerated: a difference is a change of behaviour. A change that is meant to alter
// decisions replaces them in a commit that says so, by
//
//	go test ./internal/decisiontrace -trace-write
//
// which no check may ever pass. To see what differs, write the full traces of two versions and
// compare them:
//
//	go test -count=1 ./internal/decisiontrace -trace-dump /tmp/before
//
// A golden file has a line for each step: the step's number, eight hexadecimal digits of a
// digest over all up to its end, and four of a digest of each of its lines.
//
// Two things have no defined order and are put into one before they are written. Commands for
// tasks that a worker reports and nobody placed come from a map: those of one verb are sorted
// by task; all other commands keep their order. Maps, which are sent in any order, are written
// with sorted keys; the fields of a stored map likewise. All else is written as it comes.
//
// Sums of floating-point numbers over maps may differ in their last bit from run to run. The
// histories use sizes and times that add up exactly, so that this never tips a decision.
package decisiontrace
