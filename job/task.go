package job

import (
	"cmp"
	"strings"

	"junipershelf/protocol"
)

// Task identifies a task by its job's UID and its number, which counts from 0.
type Task struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Index    int
}

// String returns the task's name in heartbeats and commands.
func (t Task) String() string { return protocol.TaskName(t.Job, t.Index) }

// Compare orders tasks by job, then by number.
func (t Task) Compare(u Task) int {
	return cmp.Or(strings.Compare(t.Job, u.Job), cmp.Compare(t.Index, u.Index))
}
