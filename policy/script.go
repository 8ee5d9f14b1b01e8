package policy

import (
	"errors"
	"fmt"
	"strings"

	"go.starlark.net/resolve"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// maxExecutionSteps limits a script, so that an endless one fails.
const maxExecutionSteps = 1_000_000

// applyScript runs a script and sets the policy's values to those of its global names. The
// error is a *FileError.
func (p *Policy) applyScript(file, source string) error {
	globals, err := runScript(file, source)
	if err != nil {
		return scriptError(err)
	}
	for key, value := range globals {
		if err := p.set(key, value); err != nil {
			return &FileError{File: file, Line: lineOf(source, key), Key: key, Reason: err.Error()}
		}
	}
	return nil
}

// runScript returns the global names that a script sets. Its output is discarded.
func runScript(file, source string) (starlark.StringDict, error) {
	thread := &starlark.Thread{
		Name:  file,
		Print: func(*starlark.Thread, string) {},
	}
	thread.SetMaxExecutionSteps(maxExecutionSteps)
	options := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}
	return starlark.ExecFileOptions(options, thread, file, source, nil)
}

// scriptError returns a *FileError for an error of the Starlark library, or the error itself
// if it has no position.
func scriptError(err error) error {
	var (
		evalError    *starlark.EvalError
		syntaxError  syntax.Error
		resolveError resolve.ErrorList
	)
	switch {
	case errors.As(err, &evalError) && len(evalError.CallStack) > 0:
		return newScriptError(evalError.CallStack.At(0).Pos, evalError.Msg, err)
	case errors.As(err, &syntaxError):
		return newScriptError(syntaxError.Pos, syntaxError.Msg, err)
	case errors.As(err, &resolveError):
		return newScriptError(resolveError[0].Pos, resolveError[0].Msg, err)
	}
	return err
}

// lineOf returns the number of the first line, from 1, that begins with a key. It returns 0 if
// there is none, since a script may also set a key in other ways, such as a loop.
func lineOf(source, key string) int {
	number := 0
	for line := range strings.Lines(source) {
		number++
		if strings.HasPrefix(strings.TrimSpace(line), key) {
			return number
		}
	}
	return 0
}

// set sets the value of a key. Functions, and names that begin with an underscore, are private
// to the script and ignored. The caller adds the key and its line to an error.
func (p *Policy) set(key string, value starlark.Value) error {
	if key == teamWeightsKey {
		return p.setTeamWeights(value)
	}
	if field, ok := fieldsByKey[key]; ok {
		return field.set(p, value)
	}
	if _, isFunction := value.(*starlark.Function); isFunction || strings.HasPrefix(key, "_") {
		return nil
	}
	return errors.New("unknown key")
}

const (
	teamWeightsKey = "team_weights"
	maxTeamWeight  = 1e6
)

// setTeamWeights adds the weights in a dict from team names to numbers.
func (p *Policy) setTeamWeights(value starlark.Value) error {
	weights, ok := value.(*starlark.Dict)
	if !ok {
		return fmt.Errorf("got %s, want a dict", value.Type())
	}
	for _, item := range weights.Items() {
		team, isName := starlark.AsString(item[0])
		weight, isNumber := starlark.AsFloat(item[1])
		if !isName || !isNumber || !(weight > 0) || weight > maxTeamWeight {
			return fmt.Errorf("got %v: %v, want a team name and a weight above 0 and at most %g", item[0], item[1], maxTeamWeight)
		}
		p.TeamWeights[team] = weight
	}
	return nil
}
