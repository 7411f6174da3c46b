// Package heartbeat measures the CPU time and bytes that agents' heartbeats cost an entry.
package heartbeat
