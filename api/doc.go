// Package api serves the HTTP API for users, worker agents and health checks. All routes are in
// routes.go. The handlers for users (users.go), agents (agents.go) and health checks
// (health.go) read the requests, and a Service returns the responses (response.go).
package api
