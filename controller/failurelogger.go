package controller

import (
	"errors"
	"log/slog"

	"junipershelf/protocol"
)

// failureLogger logs failed calls to other processes, and records and messages that could not be
// decoded. It has no lock of its own.
type failureLogger struct {
	log   *slog.Logger
	dedup *logDeduplicator
}

// logFailure logs the error of a failed operation. A *protocol.DecodeError is logged at error level,
// once for each source and sender. All other errors are expected while other processes are down, and
// are logged at debug level.
func (f *failureLogger) logFailure(message string, err error) {
	undecodable, ok := errors.AsType[*protocol.DecodeError](err)
	if !ok {
		f.log.Debug(message, "err", err)
		return
	}
	if f.dedup.firstTime("undecodable " + undecodable.Source + " " + undecodable.Sender) {
		f.log.Error("record or message cannot be decoded", "source", undecodable.Source, "sender", undecodable.Sender, "err", err)
	}
}
