package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// add writes a line with the seconds since the start of the run.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)) // a record that cannot be written ends as a short one
}
