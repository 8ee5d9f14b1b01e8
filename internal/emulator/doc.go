// Package emulator emulates the services and machines around the controllers, with faults that a
// test or a load test injects. Under testing/synctest, a test runs days of a cluster's operation
// on a simulated clock.
//
// The emulators and the faults that each injects:
//
//   - [Store], the consensus-backed key-value store (store.go, storeserver.go, storefaults.go):
//     outages for all or some callers, latency, lost replies, transactions that are applied
//     twice or late, limits on rates and sizes, also lowered ones, values replaced in the
//     storage, and values translated between versions on reads and writes.
//   - [Cloud], the provider of machines (cloud.go, cloudserver.go, cloudfaults.go): machines
//     that are reclaimed without notice, paused, or never boot; limited capacity; an unavailable
//     API; terminated machines that keep running.
//   - The worker agents on the cloud's machines (agent.go, agenttasks.go): heartbeats that are
//     duplicated late or replayed, replies that arrive late or again, machines that receive no
//     replies, agents that restart, machines and jobs whose tasks all fail.
//   - [MemoryNetwork] and [DirectTransport], a network in memory (memorynetwork.go,
//     directtransport.go): blocked directions, latency, and hosts that lose all connections.
//   - [LoopbackNetwork], the machine's loopback network (loopbacknetwork.go): blocked hosts.
//
// The cloud checks the [Invariants] of the deployment whenever a task starts to run and records
// each [Violation].
//
// The emulators are safe for concurrent use unless a field's comment says otherwise. All random
// draws derive from the seed passed to [NewCloud].
package emulator
