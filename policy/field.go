package policy

import (
	"errors"
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

// fieldsByKey holds the fields that have a key of their own in the file.
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

// numberTag returns the number in a field's tag. A tag without one is a fault of this package.
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
		return errors.New("not a number")
	}
	if !(number >= f.minimum && number <= f.maximum) { // so written, it refuses what is not a number
		return fmt.Errorf("%v is not between %v and %v", number, f.minimum, f.maximum)
	}
	target := reflect.ValueOf(p).Elem().Field(f.index)
	if !f.isInteger {
		target.SetFloat(number)
		return nil
	}
	if number != math.Trunc(number) {
		return errors.New("not a whole number")
	}
	target.SetInt(int64(number))
	return nil
}
