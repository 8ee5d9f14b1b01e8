// Package protocol defines the CBOR bodies that controllers exchange with users, worker agents,
// the cloud and the key-value store. It is the only package that uses the names on the wire.
// Each is mapped once, in the cbor tag of a field whose Go name is the standard term. Comments
// mention a name on the wire where that helps.
//
// Unknown fields of a body are ignored, so that other versions may add fields.
package protocol

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// MaxBodyBytes is the largest size of a request's body that is accepted.
const MaxBodyBytes = 64 << 10

// Limits of the decoder, so that a small body cannot claim a large amount of memory.
const (
	maxArrayElements = 1 << 20
	maxMapPairs      = 1 << 20
	maxNestedLevels  = 32
)

// cborMapType is the major type of a map, which is in the upper three bits of its first byte.
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

// HealthBody is the body of the response to a successful health check.
type HealthBody struct {
	Status string `cbor:"status"`
}
