package controller

import (
	"errors"
	"log/slog"

	"junipershelf/protocol"
)

// failureLogger logs failed calls to other processes.
type failureLogger struct {
	log   *slog.Logger
	dedup *logDeduplicator
}

// failed logs why a call failed. What cannot be decoded is an error that names the record or
// message and its sender, once for each; everything else is expected while other processes are
// away, and logged at debug.
func (f *failureLogger) failed(what string, err error) {
	var undecodable *protocol.DecodeError
	if !errors.As(err, &undecodable) {
		f.log.Debug(what, "err", err)
		return
	}
	if f.dedup.first("undecodable " + undecodable.Source + " " + undecodable.Sender) {
		f.log.Error("cannot be decoded", "source", undecodable.Source, "sender", undecodable.Sender, "err", err)
	}
}
