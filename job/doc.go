// Package job holds what the service knows of a job: its tasks (task.go), its records in the
// key-value store (record.go), sets of its task numbers (ranges.go), what a task takes of a
// machine (resources.go), where tasks may run (placement.go), and a node's watch-fed cache of
// the live jobs (cache.go).
package job
