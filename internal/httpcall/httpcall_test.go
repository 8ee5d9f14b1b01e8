package httpcall_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"junipershelf/internal/httpcall"
	"junipershelf/protocol"
)

// maxReplyBytes is the longest reply that the clients of these tests take.
const maxReplyBytes = 64

// serve starts a service for a test and returns its address and a client of it.
func serve(t *testing.T, handler http.HandlerFunc) (address string, client *httpcall.Client) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	address = server.Listener.Addr().String()
	return address, httpcall.New(nil, address, httpcall.Limits{Connections: 2, ReplyBytes: maxReplyBytes})
}

// respond writes a reply.
func respond(t *testing.T, w http.ResponseWriter, status int, body string) {
	t.Helper()
	w.WriteHeader(status)
	if _, err := w.Write([]byte(body)); err != nil {
		t.Errorf("a reply cannot be written: %v", err)
	}
}

// encode returns a message in CBOR.
func encode(t *testing.T, message any) string {
	t.Helper()
	raw, err := protocol.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func TestCallReturnsTheReplyWhateverItsStatus(t *testing.T) {
	want := encode(t, protocol.ErrorBody{Error: "why"})
	for _, status := range []int{
		http.StatusOK, http.StatusFound, http.StatusBadRequest, http.StatusConflict,
		http.StatusTooManyRequests, http.StatusServiceUnavailable,
	} {
		_, client := serve(t, func(w http.ResponseWriter, _ *http.Request) { respond(t, w, status, want) })
		response, err := client.Call(t.Context(), http.MethodGet, "/a?b=c", nil)
		if err != nil {
			t.Errorf("status %d: %v", status, err)
			continue
		}
		if response.Status != status || string(response.Body) != want {
			t.Errorf("status %d: %d with %q", status, response.Status, response.Body)
		}
		var body protocol.ErrorBody
		if err := response.Decode(&body); err != nil || body.Error != "why" {
			t.Errorf("status %d: decoded %+v, %v", status, body, err)
		}
	}
}

func TestCallSendsItsMessageAsCBOR(t *testing.T) {
	for _, c := range []struct {
		name        string
		message     any
		contentType string
		bytes       int64
	}{
		{"no message", nil, "", 0},
		{"message", protocol.ErrorBody{Error: "why"}, httpcall.ContentTypeCBOR, int64(len(encode(t, protocol.ErrorBody{Error: "why"})))},
	} {
		_, client := serve(t, func(_ http.ResponseWriter, r *http.Request) {
			if got := r.Header.Get("Content-Type"); got != c.contentType || r.ContentLength != c.bytes {
				t.Errorf("%s: %d bytes of type %q, want %d of %q", c.name, r.ContentLength, got, c.bytes, c.contentType)
			}
			if r.Method != http.MethodPost || r.RequestURI != "/a?b=c" {
				t.Errorf("%s: %s %s", c.name, r.Method, r.RequestURI)
			}
		})
		if _, err := client.Call(t.Context(), http.MethodPost, "/a?b=c", c.message); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// All that may have been executed is ErrUnknown, and the error names the call.
func TestCallWithoutUsableReplyIsUnknown(t *testing.T) {
	longest := strings.Repeat("x", maxReplyBytes)
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		want    error // beside ErrUnknown
	}{
		{"time-out", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, context.DeadlineExceeded},
		{"reply too long", func(w http.ResponseWriter, _ *http.Request) {
			respond(t, w, http.StatusOK, longest+"x")
		}, httpcall.ErrReplyTooLong},
		{"connection lost", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, nil},
		{"reply cut short", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			respond(t, w, http.StatusOK, "x")
		}, nil},
	} {
		address, client := serve(t, c.handler)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		response, err := client.Call(ctx, http.MethodGet, "/a?b=c", nil)
		cancel()
		if response != nil || !errors.Is(err, httpcall.ErrUnknown) {
			t.Errorf("%s: %+v, %v", c.name, response, err)
		}
		if c.want != nil && !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
		if tooLong := errors.Is(err, httpcall.ErrReplyTooLong); tooLong != errors.Is(c.want, httpcall.ErrReplyTooLong) {
			t.Errorf("%s: counts as a reply too long: %v", c.name, tooLong)
		}
		checkNamesCall(t, err, httpcall.CallError{Method: http.MethodGet, Address: address, Path: "/a?b=c"})
	}
	_, client := serve(t, func(w http.ResponseWriter, _ *http.Request) { respond(t, w, http.StatusOK, longest) })
	if response, err := client.Call(t.Context(), http.MethodGet, "/", nil); err != nil || string(response.Body) != longest {
		t.Errorf("the longest reply that is taken: %v", err)
	}
}

// checkNamesCall fails the test unless an error names a call.
func checkNamesCall(t *testing.T, err error, want httpcall.CallError) {
	t.Helper()
	var failed *httpcall.CallError
	if !errors.As(err, &failed) {
		t.Errorf("%v names no call", err)
		return
	}
	if failed.Method != want.Method || failed.Address != want.Address || failed.Path != want.Path {
		t.Errorf("%v names another call than %s %s%s", err, want.Method, want.Address, want.Path)
	}
	name := want.Method + " " + want.Address + want.Path
	if !strings.HasPrefix(err.Error(), name+": ") || strings.Contains(err.Error(), "http://") {
		t.Errorf("%q does not name %q once", err, name)
	}
}

func TestMalformedReplyIsUnknown(t *testing.T) {
	for name, body := range map[string]string{"empty": "", "no CBOR": "nonsense", "not a map": "\x80", "cut short": "\xa1"} {
		address, client := serve(t, func(w http.ResponseWriter, _ *http.Request) { respond(t, w, http.StatusOK, body) })
		response, err := client.Call(t.Context(), http.MethodGet, "/a", nil)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		err = response.Decode(&protocol.ErrorBody{})
		if !errors.Is(err, httpcall.ErrUnknown) || errors.Is(err, httpcall.ErrReplyTooLong) {
			t.Errorf("%s: %v", name, err)
		}
		checkNamesCall(t, err, httpcall.CallError{Method: http.MethodGet, Address: address, Path: "/a"})
	}
}

// A request that cannot be made was surely not executed.
func TestUnsentCallIsNotUnknown(t *testing.T) {
	address, client := serve(t, func(http.ResponseWriter, *http.Request) { t.Error("the call was sent") })
	for _, c := range []struct {
		name, method string
		message      any
	}{
		{"bad method", "a b", nil},
		{"message without a CBOR form", http.MethodPost, make(chan int)},
	} {
		_, err := client.Call(t.Context(), c.method, "/a", c.message)
		if err == nil || errors.Is(err, httpcall.ErrUnknown) {
			t.Errorf("%s: %v", c.name, err)
		}
		checkNamesCall(t, err, httpcall.CallError{Method: c.method, Address: address, Path: "/a"})
	}
}
