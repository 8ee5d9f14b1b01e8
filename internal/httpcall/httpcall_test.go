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

// maxReplyBytes is the length of the longest reply that the clients of these tests accept.
const maxReplyBytes = 64

// serve starts a service for a test and returns its address and a client of it.
func serve(t *testing.T, handler http.HandlerFunc) (address string, client *httpcall.Client) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	address = server.Listener.Addr().String()
	return address, httpcall.New(nil, address, httpcall.Limits{MaxConnections: 2, MaxReplyBytes: maxReplyBytes})
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
			t.Errorf("status %d: the response is %d with body %q, want body %q", status, response.Status, response.Body, want)
		}
		var body protocol.ErrorBody
		if err := response.Decode(&body); err != nil || body.Error != "why" {
			t.Errorf("status %d: the body is decoded as %+v, error %v", status, body, err)
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
				t.Errorf("%s: the request is %s %s, want POST /a?b=c", c.name, r.Method, r.RequestURI)
			}
		})
		if _, err := client.Call(t.Context(), http.MethodPost, "/a?b=c", c.message); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// The error of a call that may have been executed is an ErrUnknown and identifies the call.
func TestCallWithoutUsableReplyIsUnknown(t *testing.T) {
	longest := strings.Repeat("x", maxReplyBytes)
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		want    error // in addition to ErrUnknown
	}{
		{"time-out", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, context.DeadlineExceeded},
		{"reply too long", func(w http.ResponseWriter, _ *http.Request) {
			respond(t, w, http.StatusOK, longest+"x")
		}, httpcall.ErrReplyTooLong},
		{"connection lost", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, nil},
		{"truncated reply", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			respond(t, w, http.StatusOK, "x")
		}, nil},
	} {
		address, client := serve(t, c.handler)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		response, err := client.Call(ctx, http.MethodGet, "/a?b=c", nil)
		cancel()
		if response != nil || !errors.Is(err, httpcall.ErrUnknown) {
			t.Errorf("%s: response %+v, error %v, want no response and ErrUnknown", c.name, response, err)
		}
		if c.want != nil && !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", c.name, err, c.want)
		}
		if tooLong := errors.Is(err, httpcall.ErrReplyTooLong); tooLong != errors.Is(c.want, httpcall.ErrReplyTooLong) {
			t.Errorf("%s: error %v is an ErrReplyTooLong: %v, want %v", c.name, err, tooLong, !tooLong)
		}
		checkCallError(t, err, httpcall.CallError{Method: http.MethodGet, Address: address, Path: "/a?b=c"})
	}
	_, client := serve(t, func(w http.ResponseWriter, _ *http.Request) { respond(t, w, http.StatusOK, longest) })
	if response, err := client.Call(t.Context(), http.MethodGet, "/", nil); err != nil || string(response.Body) != longest {
		t.Errorf("the longest reply that is accepted: %v", err)
	}
}

// checkCallError fails the test unless an error is a CallError of a call and its text begins with the call.
func checkCallError(t *testing.T, err error, want httpcall.CallError) {
	t.Helper()
	var failed *httpcall.CallError
	if !errors.As(err, &failed) {
		t.Errorf("error %v is not a CallError", err)
		return
	}
	if failed.Method != want.Method || failed.Address != want.Address || failed.Path != want.Path {
		t.Errorf("error %v is of another call than %s %s%s", err, want.Method, want.Address, want.Path)
	}
	name := want.Method + " " + want.Address + want.Path
	if !strings.HasPrefix(err.Error(), name+": ") || strings.Contains(err.Error(), "http://") {
		t.Errorf("error %q does not begin with %q, or has the URL as well", err, name+": ")
	}
}

func TestMalformedReplyIsUnknown(t *testing.T) {
	for name, body := range map[string]string{"empty": "", "not CBOR": "nonsense", "not a map": "\x80", "truncated": "\xa1"} {
		address, client := serve(t, func(w http.ResponseWriter, _ *http.Request) { respond(t, w, http.StatusOK, body) })
		response, err := client.Call(t.Context(), http.MethodGet, "/a", nil)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		err = response.Decode(&protocol.ErrorBody{})
		if !errors.Is(err, httpcall.ErrUnknown) || errors.Is(err, httpcall.ErrReplyTooLong) {
			t.Errorf("%s: error %v, want ErrUnknown and not ErrReplyTooLong", name, err)
		}
		checkCallError(t, err, httpcall.CallError{Method: http.MethodGet, Address: address, Path: "/a"})
	}
}

// A request that cannot be created is not sent, so its error is not an ErrUnknown.
func TestUnsentCallIsNotUnknown(t *testing.T) {
	address, client := serve(t, func(http.ResponseWriter, *http.Request) { t.Error("the call was sent") })
	for _, c := range []struct {
		name, method string
		message      any
	}{
		{"invalid method", "a b", nil},
		{"message that CBOR cannot encode", http.MethodPost, make(chan int)},
	} {
		_, err := client.Call(t.Context(), c.method, "/a", c.message)
		if err == nil || errors.Is(err, httpcall.ErrUnknown) {
			t.Errorf("%s: error %v, want one other than ErrUnknown", c.name, err)
		}
		checkCallError(t, err, httpcall.CallError{Method: c.method, Address: address, Path: "/a"})
	}
}
