// Package emulator emulates what surrounds the controllers, with faults that a test or a load
// test injects. Under testing/synctest, whole days of a cluster run on a simulated clock.
//
// The parts, each in files of its own, and the faults that each injects:
//
//   - [Store], the consensus-backed key-value store (store.go, storeserver.go, storefaults.go):
//     outages for all or some callers, latency, replies that are lost, transactions that are
//     applied once more or late, rates and sizes that are limited or fall, values that the
//     storage replaces, and values translated between versions on their way.
//   - [Cloud], the provider of machines (cloud.go, cloudserver.go, cloudfaults.go): machines
//     reclaimed without notice, paused, or that never boot; capacity; an API that is
//     unavailable; terminated machines that go on running.
//   - The worker agents of the cloud's machines (agent.go, agenttasks.go): heartbeats that are
//     duplicated late or replayed, machines that no reply reaches, machines and jobs whose tasks
//     all fail.
//   - [MemoryNetwork] and [DirectTransport], a network in memory (memorynetwork.go,
//     directtransport.go): blocked directions, latency, and hosts that lose all connections.
//   - [LoopbackNetwork], the machine's own loopback (loopbacknetwork.go): blocked hosts.
//
// The cloud checks the [Invariants] of the deployment at each start of a task and lists each
// [Violation].
//
// The emulators are safe for concurrent use, as far as their fields do not say otherwise. Their
// random draws come from the seed of [NewCloud].
package emulator
