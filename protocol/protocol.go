// Package protocol holds the bodies that travel between the controllers and
// users, workers, the cloud and the state service. The wire's names live here
// and nowhere else.
package protocol

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// MaxBodyBytes is the limit of request bodies.
const MaxBodyBytes = 64 << 10

var (
	enc cbor.EncMode
	dec cbor.DecMode
)

func init() {
	var err error
	if enc, err = (cbor.EncOptions{}).EncMode(); err != nil {
		panic(err)
	}
	if dec, err = (cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, MaxNestedLevels: 32}).DecMode(); err != nil {
		panic(err)
	}
}

// Marshal encodes a body.
func Marshal(v any) ([]byte, error) { return enc.Marshal(v) }

// Unmarshal decodes a body, which must be one map.
func Unmarshal(b []byte, v any) error {
	if len(b) == 0 || b[0]>>5 != 5 {
		return errors.New("body is not a map")
	}
	return dec.Unmarshal(b, v)
}

// ErrorBody is the body of an answer that is no success.
type ErrorBody struct {
	Error string `cbor:"error"`
}

// HealthBody is the body of a health check's 200.
type HealthBody struct {
	Status string `cbor:"status"`
}
