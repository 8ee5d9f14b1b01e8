package policy

import (
	"fmt"
	"math"
	"reflect"
	"strconv"

	"go.starlark.net/starlark"
)

// numberField is a field of Policy that a script sets to a number.
type numberField struct {
	index            int // of the field in Policy
	isInteger        bool
	minimum, maximum float64
}

// fieldsByKey holds the fields that a key of the file sets directly.
var fieldsByKey = numberFields()

func numberFields() map[string]numberField {
	fields := map[string]numberField{}
	for field := range reflect.TypeFor[Policy]().Fields() {
		key := field.Tag.Get("star")
		if key == "" {
			continue
		}
		fields[key] = numberField{
			index:     field.Index[0],
			isInteger: field.Type.Kind() == reflect.Int,
			minimum:   numberTag(field, "min"),
			maximum:   numberTag(field, "max"),
		}
	}
	return fields
}

// numberTag returns the number in a field's tag. It panics if there is none, which is a bug in
// this package.
func numberTag(field reflect.StructField, name string) float64 {
	number, err := strconv.ParseFloat(field.Tag.Get(name), 64)
	if err != nil {
		panic(fmt.Sprintf("policy: field %s: %v", field.Name, err))
	}
	return number
}

// set sets the field of a policy to a number within the field's range.
func (f numberField) set(p *Policy, value starlark.Value) error {
	number, ok := starlark.AsFloat(value)
	if !ok {
		return fmt.Errorf("got %s, want a number", value.Type())
	}
	if !(number >= f.minimum && number <= f.maximum) { // negated, to reject NaN
		return fmt.Errorf("%v is not between %v and %v", number, f.minimum, f.maximum)
	}
	target := reflect.ValueOf(p).Elem().Field(f.index)
	if !f.isInteger {
		target.SetFloat(number)
		return nil
	}
	if number != math.Trunc(number) {
		return fmt.Errorf("%v is not an integer", number)
	}
	target.SetInt(int64(number))
	return nil
}
