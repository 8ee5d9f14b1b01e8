package protocol

import (
	"fmt"
	"strconv"
	"strings"
)

// ParseTaskName splits a task's name on the wire into the id of its job and its index in the
// job. The error is a *ValidationError.
func ParseTaskName(name string) (uid string, index int, err error) {
	uid, digits, ok := strings.Cut(name, "/")
	if ok {
		index, err = strconv.Atoi(digits)
	}
	if !ok || err != nil || uid == "" || index < 0 || index >= MaxTasks {
		return "", 0, &ValidationError{"piece", fmt.Sprintf("%q is no task", name)}
	}
	return uid, index, nil
}

// TaskName returns a task's name on the wire: the id of its job, a slash, and its index in
// the job, from 0.
func TaskName(uid string, index int) string { return uid + "/" + strconv.Itoa(index) }
