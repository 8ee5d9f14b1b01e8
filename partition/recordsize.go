package partition

import (
	"strconv"
	"strings"
)

// What the parts of a record take in its JSON form beside their texts and numbers, at the most:
// names, brackets, quotation marks and commas.
const (
	recordOverhead       = 80
	kindOverhead         = 14
	resourcesOverhead    = 6
	jobOverhead          = 6
	attemptOverhead      = 1
	machineOverhead      = 11
	runsOverhead         = 3
	runCompletedOverhead = 1
	// completedOverhead is for a job's row of completed tasks, beside their ranges.
	completedOverhead = 9
	// completedRangeBytes is for a range of completed tasks.
	completedRangeBytes = 8
)

// Bytes is the length of the record in its JSON form, at the most, with room for
// all that is placed to be completed as well: what completes never makes a record outgrow
// its value.
func (r *Record) Bytes() int {
	n := recordOverhead
	for _, k := range r.Kinds {
		n += len(k.MachineType) + len(k.Zone) + kindOverhead
	}
	for _, k := range r.Resources {
		n += len(k.Team) + resourcesOverhead + decimalBytes(k.CPUs) + decimalBytes(k.Accelerators) + decimalBytes(k.MemoryGB)
	}
	for _, j := range r.Jobs {
		n += len(j.UID) + digits(uint64(j.Resources)) + jobOverhead + completedOverhead
	}
	for _, t := range r.Attempts {
		n += digits(t) + attemptOverhead
	}
	for i := range r.Machines {
		n += r.Machines[i].bytes()
	}
	for _, completed := range r.Completed {
		n += len(completed.Tasks)
	}
	return n
}

// bytes is what a machine's row takes, with room for all its tasks to be completed.
func (m *RecordMachine) bytes() int {
	n := len(m.ID) + digits(uint64(m.Kind)) + digits(m.AgentEpoch) + digits(m.Sequence) + machineOverhead
	n += len(m.Runs) + runsOverhead
	for text := range strings.SplitSeq(m.Runs, ";") {
		_, tasks, _ := strings.Cut(text, ":")
		n += len(tasks) + runCompletedOverhead
	}
	return n
}

// completedBytes is what of it the completed tasks take.
func (r *Record) completedBytes() (n int) {
	for _, completed := range r.Completed {
		n += len(completed.Tasks) + completedOverhead
	}
	return n
}

// digits is the length of a number in its JSON form.
func digits(n uint64) int {
	k := 1
	for ; n > 9; n /= 10 {
		k++
	}
	return k
}

// decimalBytes is the length of a decimal number in its JSON form, with a comma. Once resources
// counted as 40 bytes whatever stood in them: in a value of 2 KiB with twenty of them a quarter
// of the room was for nothing.
func decimalBytes(x float64) int {
	return len(strconv.FormatFloat(x, 'g', -1, 64)) + 3
}
