package cloud_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"junipershelf/cloud"
	"junipershelf/internal/emulator"
	"junipershelf/protocol"
	"junipershelf/settings"
)

// limits are the cloud's limits in these tests.
var limits = settings.CloudLimits{RPS: 100}

const maxListed = 1001

// withEmulatedCloud runs a test on a simulated clock with an emulated cloud that has capacity for a number of
// machines.
func withEmulatedCloud(t *testing.T, capacity int, test func(ctx context.Context, newClient func(maxListed int) *cloud.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		t.Helper()
		ctx, stop := context.WithCancel(t.Context())
		network := emulator.NewMemoryNetwork()
		types := []protocol.MachineType{{Name: "quad", CPUs: 4, MemGB: 32, BootS: 1000, Zones: []string{"east"}}}
		emulated := emulator.NewCloud(ctx, network, 1, emulator.Invariants{LeaseDuration: time.Minute, HeartbeatInterval: time.Second}, types)
		emulated.Nodes["n0"] = "n0:8080"
		emulated.Capacity["quad"] = capacity
		if err := emulated.Serve(ctx, "cloud:8443"); err != nil {
			t.Fatal(err)
		}
		test(ctx, func(maxListed int) *cloud.Client {
			return cloud.New(network.Dialer("a"), "cloud:8443", limits, maxListed)
		})
		stop()
		network.CloseConnections("a")
		time.Sleep(2000 * time.Second)
	})
}

// A list of more than one page is complete; one of more machines than the client may list is truncated and
// reported as such. The interval between lists grows with the number of pages, which leaves most requests for scaling.
func TestListOfMachinesIsCompleteOrTruncated(t *testing.T) {
	withEmulatedCloud(t, maxListed, func(ctx context.Context, newClient func(int) *cloud.Client) {
		client := newClient(maxListed)
		for i := range maxListed/cloud.MaxScaleOut + 1 {
			request := protocol.ScaleOutRequest{IdempotencyKey: string(rune('a' + i)), MachineType: "quad", Zone: "east", Count: cloud.MaxScaleOut}
			if _, err := client.ScaleOut(ctx, request); err != nil {
				t.Fatal(err)
			}
		}
		for most, wantTruncated := range map[int]bool{1001: false, 1000: true, 500: true} {
			list, truncated, err := newClient(most).List(ctx)
			if err != nil || len(list) != most || truncated != wantTruncated {
				t.Errorf("a list of at most %d: %d machines, truncated %v (want %v), error %v", most, len(list), truncated, wantTruncated, err)
			}
		}
		if few, many := client.ListInterval(100), client.ListInterval(4000); many < 8*few {
			t.Errorf("the interval between lists is %v for 100 machines and %v for 4,000, want at least 8 times as much", few, many)
		}
	})
}

func TestScaleOutWithoutCapacity(t *testing.T) {
	withEmulatedCloud(t, 1, func(ctx context.Context, newClient func(int) *cloud.Client) {
		client := newClient(maxListed)
		request := protocol.ScaleOutRequest{IdempotencyKey: "first", MachineType: "quad", Zone: "east", Count: 1}
		first, err := client.ScaleOut(ctx, request)
		if err != nil || len(first) != 1 {
			t.Fatalf("a scale-out by one machine returns %v, %v", first, err)
		}
		if again, err := client.ScaleOut(ctx, request); err != nil || len(again) != 1 || again[0] != first[0] {
			t.Errorf("the same scale-out repeated returns %v after %v, error %v", again, first, err)
		}
		request.IdempotencyKey = "second"
		if ids, err := client.ScaleOut(ctx, request); !errors.Is(err, cloud.ErrNoCapacity) {
			t.Errorf("a scale-out beyond the capacity returns %v, error %v, want ErrNoCapacity", ids, err)
		}
	})
}

// Requests that were not executed and requests with an unknown outcome are distinguished, and each error
// identifies its operation.
func TestOutcomesOfRequests(t *testing.T) {
	noCapacity, err := protocol.Marshal(protocol.ErrorBody{Error: "no capacity"})
	if err != nil {
		t.Fatal(err)
	}
	outcomes := []error{cloud.ErrNoCapacity, cloud.ErrRefused, cloud.ErrUnknown}
	scaleOut := request{cloud.OperationScaleOut, func(ctx context.Context, c *cloud.Client) error {
		_, err := c.ScaleOut(ctx, protocol.ScaleOutRequest{IdempotencyKey: "n0-1-1"})
		return err
	}}
	terminate := request{cloud.OperationTerminate, func(ctx context.Context, c *cloud.Client) error {
		return c.Terminate(ctx, []string{"m-1"})
	}}
	list := request{cloud.OperationList, func(ctx context.Context, c *cloud.Client) error {
		_, _, err := c.List(ctx)
		return err
	}}
	catalogue := request{cloud.OperationCatalogue, func(ctx context.Context, c *cloud.Client) error {
		_, err := c.MachineTypes(ctx)
		return err
	}}
	for _, c := range []struct {
		status   int
		body     string
		requests []request
		want     error
	}{
		{http.StatusServiceUnavailable, string(noCapacity), []request{scaleOut}, cloud.ErrNoCapacity},
		{http.StatusServiceUnavailable, string(noCapacity), []request{terminate, list, catalogue}, cloud.ErrRefused},
		{http.StatusServiceUnavailable, "", []request{scaleOut, terminate, list, catalogue}, cloud.ErrRefused},
		{http.StatusTooManyRequests, "", []request{scaleOut, terminate, list, catalogue}, cloud.ErrRefused},
		{http.StatusBadRequest, "", []request{scaleOut, terminate, list, catalogue}, cloud.ErrRefused},
		{http.StatusInternalServerError, "", []request{scaleOut, terminate, list, catalogue}, cloud.ErrUnknown},
		{http.StatusNotFound, "", []request{scaleOut, terminate, list, catalogue}, cloud.ErrUnknown},
		{http.StatusOK, "nonsense", []request{scaleOut, list, catalogue}, cloud.ErrUnknown},
		{http.StatusOK, "nonsense", []request{terminate}, nil}, // its reply body is not decoded
	} {
		client := stubClient(t, c.status, c.body)
		for _, request := range c.requests {
			err := request.send(t.Context(), client)
			for _, outcome := range outcomes {
				if errors.Is(err, outcome) != errors.Is(c.want, outcome) {
					t.Errorf("%s with reply %d %q: error %v, want %v", request.operation, c.status, c.body, err, c.want)
				}
			}
			if err != nil && !namesOperation(err, request.operation) {
				t.Errorf("%s with reply %d %q: error %v is not a RequestError of the operation", request.operation, c.status, c.body, err)
			}
		}
	}
}

// request is one of the client's requests.
type request struct {
	operation cloud.Operation
	send      func(ctx context.Context, client *cloud.Client) error
}

func namesOperation(err error, operation cloud.Operation) bool {
	var failed *cloud.RequestError
	return errors.As(err, &failed) && failed.Operation == operation && strings.HasPrefix(err.Error(), string(operation))
}

// stubClient returns a client of a cloud that gives the same reply to all requests.
func stubClient(t *testing.T, status int, body string) *cloud.Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		if _, err := w.Write([]byte(body)); err != nil {
			t.Errorf("a reply cannot be written: %v", err)
		}
	}))
	t.Cleanup(server.Close)
	return cloud.New(nil, server.Listener.Addr().String(), limits, maxListed)
}

// The nodes' shares leave a tenth of the limit free, and the node that scales out has most of the rest.
func TestNodesShareTheLimit(t *testing.T) {
	client := cloud.New(nil, "cloud:8443", limits, maxListed)
	interval := func(share cloud.Share) time.Duration {
		client.SetShare(share)
		return client.ListInterval(0).Round(time.Millisecond)
	}
	for _, c := range []struct {
		share cloud.Share
		rate  float64 // requests per second
	}{
		{cloud.Share{Nodes: 1, ScalesOut: true}, 90},
		{cloud.Share{Nodes: 3, ScalesOut: true}, 70},
		{cloud.Share{Nodes: 3}, 10},
		{cloud.Share{Nodes: 1}, 20},
	} {
		// A list of one page takes three tenths of the requests.
		want := time.Duration(float64(time.Second) / (0.3 * c.rate)).Round(time.Millisecond)
		if got := interval(c.share); got != want {
			t.Errorf("%+v: the interval between lists is %v, want %v", c.share, got, want)
		}
	}
}
