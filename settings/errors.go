package settings

import "fmt"

// ValidationError reports a field of the file that is missing or invalid.
type ValidationError struct {
	Field  string // its path in the file, such as facts.teams[0].name
	Reason string
}

func (e *ValidationError) Error() string { return e.Field + ": " + e.Reason }

// SyntaxError reports invalid TOML, or a value whose type is not that of its field.
type SyntaxError struct {
	Line, Column int      // both from 1
	Key          []string // path of the field; empty if there is none
	Err          error    // the TOML library's error
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("line %d column %d: field %v: %s", e.Line, e.Column, e.Key, e.Err)
}

// Unwrap returns the TOML library's error.
func (e *SyntaxError) Unwrap() error { return e.Err }
