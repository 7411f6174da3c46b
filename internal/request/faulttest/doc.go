// Package faulttest holds the tests that provoke the faults of the request path
// at each of its steps, over real sockets.
package faulttest
