//go:build review2

// Command harness2 plays the scripted cases of the second review. It starts the project's programs
// as separate processes on loopback addresses, with stand-ins for the store, the workers, the
// placement advisor and the clients, and judges only what these have seen. The build tag keeps it out
// of the default build and of CI; review/build-2.sh builds it.
package main
