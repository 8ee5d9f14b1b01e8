// Package peer is what the controllers say to each other: the messages (messages.go, and
// show.go for an operator), a client and an HTTP handler for them (client.go, handler.go), and
// mailboxes in the key-value store for controllers that cannot reach each other (mailbox.go).
//
// Messages are encoded in msgpack. Controllers of two versions run side by side during an
// upgrade, so neither the order of fields in messages that are arrays nor the names of fields
// in those that are maps may change; golden files of the production version hold that.
package peer
