// Package heartbeat measures what an endpoint's heartbeats cost an entry.
package heartbeat
