// Package e2e tests the system as separate processes on loopback. It builds the
// programs, starts them with command line flags, and kills or stops them under load.
package e2e
