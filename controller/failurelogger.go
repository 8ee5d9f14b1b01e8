package controller

import (
	"errors"
	"log/slog"

	"junipershelf/protocol"
)

// failureLogger logs why calls of other processes failed, and records that could not be decoded.
// It has no lock of its own.
type failureLogger struct {
	log   *slog.Logger
	dedup *logDeduplicator
}

// failed logs an error of something that failed. A record or message that cannot be decoded is
// logged as an error with its source and sender, once for each. Everything else is expected while
// other processes are away, and logged at debug.
func (f *failureLogger) failed(what string, err error) {
	undecodable, ok := errors.AsType[*protocol.DecodeError](err)
	if !ok {
		f.log.Debug(what, "err", err)
		return
	}
	if f.dedup.first("undecodable " + undecodable.Source + " " + undecodable.Sender) {
		f.log.Error("cannot be decoded", "source", undecodable.Source, "sender", undecodable.Sender, "err", err)
	}
}
