package policy

import "go.starlark.net/syntax"

// FileError reports a policy file whose script cannot be run, or that sets a key to an invalid
// value.
type FileError struct {
	File   string
	Line   int    // from 1; 0 if unknown
	Column int    // from 1; 0 if unknown, and always 0 if Key is set
	Key    string // empty if the script cannot be run
	Reason string
	Err    error // the script's error; nil if Key is set
}

// newScriptError returns the error of a script that cannot be run.
func newScriptError(at syntax.Position, reason string, err error) *FileError {
	return &FileError{File: at.Filename(), Line: int(at.Line), Column: int(at.Col), Reason: reason, Err: err}
}

func (e *FileError) Error() string {
	position := syntax.MakePosition(&e.File, int32(e.Line), int32(e.Column))
	text := position.String() + ": "
	if e.Key != "" {
		text += e.Key + ": "
	}
	return text + e.Reason
}

// Unwrap returns the error of a script that cannot be run, or nil for an invalid value.
func (e *FileError) Unwrap() error { return e.Err }
