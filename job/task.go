package job

import (
	"cmp"
	"strings"

	"junipershelf/protocol"
)

// Task names a task inside the service: a job's UID and the task's number, from 0.
type Task struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Index    int
}

// String returns the task's name as workers know it.
func (t Task) String() string { return protocol.TaskName(t.Job, t.Index) }

// Compare orders tasks by job and number.
func (t Task) Compare(u Task) int {
	return cmp.Or(strings.Compare(t.Job, u.Job), cmp.Compare(t.Index, u.Index))
}
