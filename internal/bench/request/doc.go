// Package request measures what the way through entry and agent adds to a call
// of the endpoint.
package request
