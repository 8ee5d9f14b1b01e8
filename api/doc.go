// Package api serves users, workers and health checks over HTTP. The routes are in one table
// (routes.go); the handlers of users (users.go), of worker agents (agents.go) and of health
// checks (health.go) decode what comes, and a Service decides on the answer (response.go).
package api
