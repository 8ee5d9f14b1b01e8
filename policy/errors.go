package policy

import "go.starlark.net/syntax"

// FileError reports what is wrong in a policy file: that its script cannot be run, or that
// it sets a key to what it may not.
type FileError struct {
	File   string
	Line   int    // from 1; 0 if it is not known
	Column int    // from 1; 0 if it is not known, as for a key
	Key    string // empty if the script cannot be run
	Reason string
	Err    error // the script's error; nil for a key
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

// Unwrap returns the error of a script that cannot be run, and nil for a key.
func (e *FileError) Unwrap() error { return e.Err }
