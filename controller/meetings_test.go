package controller_test

import (
	"testing"
	"time"
)

// The meetings of two troubles, each brought about on the simulated clock;
// docs/meetings.md lists them.

// The state service refuses the leader alone, another controller confirms a
// cancellation, and then the service is out for all for longer than cancel_s. The old
// leader went on answering its workers on the word of its peers that there is no later
// view, and knew nothing of the cancellation: its tasks ran on until the outage was over.
func TestRefusedLeaderLearnsOfCancellations(t *testing.T) {
	play(t, func(t *testing.T, d *day) {
		d.cloud.RunFor = func(string) time.Duration { return 10 * time.Minute }
		d.submit(spec("wk-1", "blue", 16))
		d.submit(spec("wk-2", "red", 8))
		time.Sleep(30 * time.Second)
		if n := d.cloud.Active("wk-1"); n != 16 {
			t.Fatalf("%d tasks run", n)
		}
		for _, uid := range []string{"wk-1", "wk-2"} {
			leader, others := d.leader()
			d.store.Outage(func(from string) bool { return from == leader })
			time.Sleep(time.Second)
			d.cancel(others[0], uid)
			time.Sleep(time.Second)
			d.store.Outage(func(string) bool { return true })
			time.Sleep(45 * time.Second)
			if uid == "wk-1" && d.cloud.Active("wk-2") != 8 {
				t.Error("tasks of another job were lost in the outage")
			}
			d.store.Outage(nil)
			time.Sleep(20 * time.Second)
		}
		d.judge(nil)
	})
}
