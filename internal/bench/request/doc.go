// Package request measures the latency and CPU time that the entry and the agent add
// to a call of an endpoint.
package request
