// Package protocol is the edge of the service: the bodies that controllers exchange with
// users, worker agents, the cloud and the key-value store, in CBOR. It is the only package
// that knows the wire's words. Each is mapped once, by a cbor tag of a field that has the
// standard term; where the two differ, the field's comment says what the wire calls it.
//
// Unknown fields of a body are ignored, so that other versions may add to it.
package protocol

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// MaxBodyBytes is the largest body of a request that is read.
const MaxBodyBytes = 64 << 10

// What a decoder accepts, so that a small body cannot ask for a large amount of memory.
const (
	maxArrayElements = 1 << 20
	maxMapPairs      = 1 << 20
	maxNestedLevels  = 32
)

// cborMapType is the major type of a map, in the upper three bits of its first byte.
const (
	cborMapType        = 5
	cborMajorTypeShift = 5
)

var (
	encoder = newEncoder()
	decoder = newDecoder()

	errNotAMap = errors.New("body is not a map")
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

func newDecoder() cbor.DecMode {
	options := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Marshal encodes a body or a stored value.
func Marshal(v any) ([]byte, error) { return encoder.Marshal(v) }

// Unmarshal decodes a body or a stored value into what v points to. It returns an error
// for anything but one CBOR map.
func Unmarshal(b []byte, v any) error {
	if len(b) == 0 || b[0]>>cborMajorTypeShift != cborMapType {
		return errNotAMap
	}
	return decoder.Unmarshal(b, v)
}

// HealthBody is the body of a health check's 200.
type HealthBody struct {
	Status string `cbor:"status"`
}
