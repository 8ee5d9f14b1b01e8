// Package peer is the protocol between controllers: the messages (messages.go, and show.go for
// operators), their HTTP client and handler (client.go, handler.go), and mailboxes in the
// key-value store for controllers that cannot reach each other (mailbox.go).
//
// Messages are encoded in msgpack. Controllers of two versions run side by side during an
// upgrade, so neither the order of fields in messages that are arrays nor the names of fields
// in messages that are maps may change. Golden files of the production version check this.
package peer
