// Package job defines jobs: their tasks (task.go), their records in the key-value store (record.go),
// sets of task numbers (ranges.go), the resources of tasks and machines (resources.go), the
// constraints on where tasks may run (placement.go), and a node's cache of the live jobs, which a
// watch updates (cache.go).
package job
