// Package faulttest injects faults at each step of the request path, over real
// sockets, and checks the outcome that the client gets.
package faulttest
