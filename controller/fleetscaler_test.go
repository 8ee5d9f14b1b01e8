package controller

import (
	"log/slog"
	"testing"

	"junipershelf/autoscaler"
	"junipershelf/membership"
)

// A call with the idempotency key of an earlier call would return that call's machines and not scale out.
func TestScaleOutIdempotencyKeysAreUnique(t *testing.T) {
	keys := map[string]bool{}
	for _, node := range []string{"a", "b"} {
		state := newNodeState(nil, newLimitCounter(slog.New(slog.DiscardHandler)))
		scaler := &fleetScaler{nodeName: node, state: state}
		for view := uint64(7); view <= 8; view++ {
			state.current.view = membership.View{Number: view}
			for range 3 {
				request := autoscaler.Request{Offer: autoscaler.Offer{MachineType: "small", Zone: "a", Spot: true}, Count: 2}
				call := scaler.nextCall(request)
				if call.MachineType != "small" || call.Zone != "a" || !call.Spot || call.Count != 2 {
					t.Errorf("request %+v became call %+v", request, call)
				}
				if keys[call.IdempotencyKey] {
					t.Errorf("idempotency key %q is used twice", call.IdempotencyKey)
				}
				keys[call.IdempotencyKey] = true
			}
		}
	}
}
