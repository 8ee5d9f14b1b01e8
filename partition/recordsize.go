package partition

import (
	"strconv"
	"strings"
)

// Upper bounds of the bytes that each part of a record takes in its JSON form in addition to its
// texts and numbers: names, brackets, quotation marks and commas.
const (
	recordOverhead       = 80
	kindOverhead         = 14
	resourcesOverhead    = 6
	jobOverhead          = 6
	attemptOverhead      = 1
	machineOverhead      = 11
	runsOverhead         = 3
	runCompletedOverhead = 1
	// completedOverhead is for a job's row of completed tasks, without their ranges.
	completedOverhead = 9
	// completedRangeBytes is for a range of completed tasks.
	completedRangeBytes = 8
)

// Bytes returns an upper bound of the record's length in its JSON form. It includes the space that
// all placed tasks need once they are completed, so that completions never make a record exceed the
// maximum value size.
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

// bytes returns an upper bound of a machine's row, including the space for its completed tasks.
func (m *RecordMachine) bytes() int {
	n := len(m.ID) + digits(uint64(m.Kind)) + digits(m.AgentEpoch) + digits(m.Sequence) + machineOverhead
	n += len(m.Runs) + runsOverhead
	for text := range strings.SplitSeq(m.Runs, ";") {
		_, tasks, _ := strings.Cut(text, ":")
		n += len(tasks) + runCompletedOverhead
	}
	return n
}

// completedBytes returns how many of the bytes that Bytes counts are for completed tasks.
func (r *Record) completedBytes() (n int) {
	for _, completed := range r.Completed {
		n += len(completed.Tasks) + completedOverhead
	}
	return n
}

// digits returns the length of a number in its JSON form.
func digits(n uint64) int {
	k := 1
	for ; n > 9; n /= 10 {
		k++
	}
	return k
}

// decimalBytes returns an upper bound of a decimal number's length in its JSON form, with a comma. A
// flat 40 bytes for each entry of Resources would waste a quarter of a 2 KiB value with twenty such
// entries.
func decimalBytes(x float64) int {
	return len(strconv.FormatFloat(x, 'g', -1, 64)) + 3
}
