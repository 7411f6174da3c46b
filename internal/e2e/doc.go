// Package e2e tests the system as separate processes on loopback: it builds the
// programs, starts them as a shell would, and kills, pauses and cuts them.
package e2e
