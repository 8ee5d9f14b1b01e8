package controller

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"junipershelf/api"
	"junipershelf/internal/emulator"
	"junipershelf/job"
	"junipershelf/policy"
	"junipershelf/protocol"
	"junipershelf/settings"
)

// userServices holds the user services of two nodes with an emulated key-value store. Of each node only the
// status confirmer runs, so no watch updates the job caches.
type userServices struct {
	store *emulator.Store
	a, b  *userService
}

// runUserServiceTest runs a test of two user services on a simulated clock.
func runUserServiceTest(t *testing.T, test func(ctx context.Context, t *testing.T, services userServices)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		t.Helper()
		ctx, stop := context.WithCancel(context.Background())
		network, store := emulator.NewMemoryNetwork(), emulator.NewStore(8192)
		if err := store.Serve(ctx, network, "state:2379"); err != nil {
			t.Fatal(err)
		}
		newService := func(name string) *userService {
			node := newTestController(t, network, name)
			go node.users.confirmer.run(ctx)
			return node.users.service
		}
		test(ctx, t, userServices{store: store, a: newService("a"), b: newService("b")})
		stop()
		network.CloseConnections("a")
		network.CloseConnections("b")
		time.Sleep(time.Minute) // for all goroutines of the connections to end
	})
}

// newTestController returns a controller with one team and one machine type.
func newTestController(t *testing.T, network *emulator.MemoryNetwork, name string) *Controller {
	t.Helper()
	pol, err := policy.Load("")
	if err != nil {
		t.Fatal(err)
	}
	node := New(&settings.Settings{
		NodeName: name,
		Services: settings.ServiceAddresses{StoreAddr: "state:2379"},
		Facts: settings.Facts{
			Nodes:     2,
			Resources: settings.Resources{MemMB: 64, MaxSockets: 256},
			Workers:   settings.WorkerTimes{HeartbeatIntervalS: 1, LeaseS: 10, CancelWithinS: 30},
			Store:     settings.StoreLimits{RPS: 100, WriteRPS: 100, ValueKB: 8, TransactionChanges: 16},
			Teams:     []settings.Team{{Name: "blue", CPULimit: 100}},
		},
	}, pol, slog.New(slog.DiscardHandler), Network{Listen: network.Listen, Dial: network.Dialer(name)})
	node.catalogue.set([]protocol.MachineType{{Name: "m8", CPUs: 8, MemGB: 32, Zones: []string{"a"}}})
	return node
}

func blueJob(uid string) *protocol.JobSpec {
	return &protocol.JobSpec{UID: uid, Team: "blue", Shape: protocol.ShapeArray, Priority: "normal", Tasks: 4, CPUs: 1, MemGB: 1}
}

// expectStatus checks the code and the job status of a response.
func expectStatus(t *testing.T, what string, response api.Response, code int, status string) {
	t.Helper()
	body, ok := response.Body.(protocol.JobStatus)
	if response.Code != code || !ok || body.Status != status {
		t.Errorf("%s: response %+v, want code %d with status %q", what, response, code, status)
	}
}

// expectCode checks the code of a response.
func expectCode(t *testing.T, what string, response api.Response, code int) {
	t.Helper()
	if response.Code != code {
		t.Errorf("%s: response %+v, want code %d", what, response, code)
	}
}

func TestRepeatedSubmissionReturnsJobStatus(t *testing.T) {
	runUserServiceTest(t, func(ctx context.Context, t *testing.T, services userServices) {
		t.Helper()
		expectStatus(t, "the first submission", services.a.Submit(ctx, blueJob("wk-1")), http.StatusCreated, job.StatusPending)
		expectStatus(t, "repeated at the same node", services.a.Submit(ctx, blueJob("wk-1")), http.StatusOK, job.StatusPending)
		expectStatus(t, "repeated at another node", services.b.Submit(ctx, blueJob("wk-1")), http.StatusOK, job.StatusPending)
		changed := blueJob("wk-1")
		changed.Team = "red"
		expectStatus(t, "repeated with an unknown team", services.b.Submit(ctx, changed), http.StatusOK, job.StatusPending)
		expectStatus(t, "malformed repeated submission", services.a.RejectSubmission(ctx, "wk-1", "bad"), http.StatusOK, job.StatusPending)
		expectCode(t, "malformed submission of an unknown job", services.a.RejectSubmission(ctx, "wk-2", "bad"), http.StatusBadRequest)
	})
}

func TestStatusIsConsistentAcrossNodes(t *testing.T) {
	runUserServiceTest(t, func(ctx context.Context, t *testing.T, services userServices) {
		t.Helper()
		expectCode(t, "status before the submission", services.b.Status(ctx, "wk-1"), http.StatusNotFound)
		services.a.Submit(ctx, blueJob("wk-1"))
		expectStatus(t, "status after the submission", services.b.Status(ctx, "wk-1"), http.StatusOK, job.StatusPending)
		expectStatus(t, "the cancellation", services.b.Cancel(ctx, "wk-1"), http.StatusOK, job.StatusCancelled)
		expectStatus(t, "status after the cancellation, with the old record cached", services.a.Status(ctx, "wk-1"), http.StatusOK, job.StatusCancelled)
		expectStatus(t, "submission after the cancellation", services.a.Submit(ctx, blueJob("wk-1")), http.StatusOK, job.StatusCancelled)
	})
}

func TestCancellationKeepsTerminalState(t *testing.T) {
	runUserServiceTest(t, func(ctx context.Context, t *testing.T, services userServices) {
		t.Helper()
		expectCode(t, "cancellation of an unknown job", services.a.Cancel(ctx, "wk-1"), http.StatusNotFound)
		raw, err := protocol.Marshal(job.TerminalState{Status: job.StatusDone, Done: 4})
		if err != nil {
			t.Fatal(err)
		}
		services.store.ReplaceValue(job.TerminalKey("wk-1"), raw)
		expectStatus(t, "cancellation of a done job", services.a.Cancel(ctx, "wk-1"), http.StatusOK, job.StatusDone)
		expectStatus(t, "repeated cancellation, from memory", services.a.Cancel(ctx, "wk-1"), http.StatusOK, job.StatusDone)
	})
}

func TestRequestsFailDuringStoreOutage(t *testing.T) {
	runUserServiceTest(t, func(ctx context.Context, t *testing.T, services userServices) {
		t.Helper()
		services.a.Submit(ctx, blueJob("wk-1"))
		services.a.Submit(ctx, blueJob("wk-2"))
		services.a.Cancel(ctx, "wk-2")
		services.store.SetOutage(func(string) bool { return true })
		expectCode(t, "a submission", services.a.Submit(ctx, blueJob("wk-3")), http.StatusServiceUnavailable)
		expectCode(t, "a status read", services.a.Status(ctx, "wk-1"), http.StatusServiceUnavailable)
		expectCode(t, "a cancellation", services.a.Cancel(ctx, "wk-1"), http.StatusServiceUnavailable)
		expectStatus(t, "a status read of a job that has ended", services.a.Status(ctx, "wk-2"), http.StatusOK, job.StatusCancelled)
	})
}
