package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to the record of a case, a line each, with the
// seconds since the start.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, started: time.Now()}, nil
}

// printf writes a line.
func (r *recorder) printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A record that cannot be written does not change the verdict, which is printed as well.
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// close closes the file.
func (r *recorder) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.file.Close()
}
