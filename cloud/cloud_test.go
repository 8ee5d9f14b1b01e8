package cloud_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"junipershelf/cloud"
	"junipershelf/internal/emulator"
	"junipershelf/protocol"
	"junipershelf/settings"
)

// A list of more than a page is whole; one of more machines than the memory can hold is cut,
// and says so. Lists leave most of the calls to rentals, the more pages they have.
func TestListsOfMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		nw := emulator.NewNet()
		types := []protocol.MachineType{{Name: "quad", CPUs: 4, MemGB: 32, BootS: 1000, Zones: []string{"east"}}}
		stand := emulator.NewCloud(ctx, nw, 1, emulator.Rules{Lease: time.Minute, Report: time.Second}, types)
		stand.Nodes["n0"] = "n0:8080"
		stand.Room["quad"] = 1001
		if err := stand.Serve(ctx, "cloud:8443"); err != nil {
			t.Fatal(err)
		}
		limits := settings.CloudLimits{RPS: 100}
		whole := cloud.New(nw.Dialer("a"), "cloud:8443", limits, 1001)
		for i := range 21 {
			if _, err := whole.ScaleOut(ctx, protocol.ScaleOutRequest{IdempotencyKey: string(rune('a' + i)), MachineType: "quad", Zone: "east", Count: cloud.MaxScaleOut}); err != nil {
				t.Fatal(err)
			}
		}
		for most, wantCut := range map[int]bool{1001: false, 1000: true, 500: true} {
			list, cut, err := cloud.New(nw.Dialer("a"), "cloud:8443", limits, most).List(ctx)
			if err != nil || len(list) != most || cut != wantCut {
				t.Errorf("at most %d: %d machines, cut %v, %v", most, len(list), cut, err)
			}
		}
		if few, many := whole.ListInterval(100), whole.ListInterval(4000); many < 8*few {
			t.Errorf("lists of 100 machines each %v, of 4,000 each %v", few, many)
		}
		stop()
		nw.Crash("a")
		time.Sleep(2000 * time.Second)
	})
}
