package emulator

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"junipershelf/protocol"
)

// serve serves a handler on an address until the context ends.
func serve(ctx context.Context, n Network, address string, handler http.Handler) error {
	l, err := n.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }() // returns when the server is closed
	go func() {
		<-ctx.Done()
		_ = server.Close() // the emulator has ended
		_ = l.Close()      // closed by the server, unless Serve has not started yet
	}()
	return nil
}

// reply writes an encoded message as the reply to a call.
func reply(w http.ResponseWriter, code int, message any) {
	raw, err := protocol.Marshal(message)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(code)
	_, _ = w.Write(raw) // the caller detects a truncated reply by its Content-Length
}

// replyError replies with an error text.
func replyError(w http.ResponseWriter, code int, text string) {
	reply(w, code, protocol.ErrorBody{Error: text})
}

// decode decodes the body of a call. If it is malformed, decode replies 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, message any) bool {
	raw, err := io.ReadAll(r.Body)
	if err == nil {
		err = protocol.Unmarshal(raw, message)
	}
	if err != nil {
		replyError(w, http.StatusBadRequest, "malformed")
		return false
	}
	return true
}
