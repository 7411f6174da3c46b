// Package classify looks up the limits and the allowed data centres of a request's
// service and client in the configuration table.
package classify

import (
	"context"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/fault"
	"chervilridge/internal/request"
)

// retryAfter is the delay that a rejected client is asked to wait.
const retryAfter = time.Second

// Table looks up rows of the active configuration table.
type Table interface {
	// Row returns the named row, or nil if the table has none.
	Row(kind pb.RowKind, name string) *pb.Row
	// Version returns the version of the table; 0 if no table has been read yet.
	Version() uint64
}

// Services reports which services have announced endpoints.
type Services interface {
	Known(service string) bool
}

// Filter is the pipeline stage that classifies requests.
type Filter struct {
	next     request.Handler
	table    Table
	services Services
}

// New returns a Filter that passes classified requests to next.
func New(next request.Handler, table Table, services Services) *Filter {
	return &Filter{next: next, table: table, services: services}
}

// Handle sets the request's weight, limits and allowed data centres. It rejects a
// service that has neither a table row nor an announced endpoint.
func (f *Filter) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	service := f.table.Row(pb.RowKind_ROW_KIND_SERVICE, r.Service)
	if service == nil && !f.services.Known(r.Service) {
		return nil, f.unknownServiceError(r)
	}
	r.Allowed = service.GetDataCentres()
	r.ServiceLimit = service.GetLimit()
	r.Weight = 1
	if client := f.table.Row(pb.RowKind_ROW_KIND_CLIENT, r.Client); client != nil {
		r.Weight = client.Weight
		r.ClientLimit = client.Limit
	}
	return f.next.Handle(ctx, r)
}

// unknownServiceError returns CodeUnknownService, or, as long as the table has not been
// read and the service may exist, CodeNoEndpoint with a retry delay.
func (f *Filter) unknownServiceError(r *request.Request) error {
	if f.table.Version() == 0 {
		return fault.Newf(fault.CodeNoEndpoint, fault.StepClassify, r.Service, "service %q has no known endpoint and the table is not read yet", r.Service).
			WithRetryAfter(retryAfter)
	}
	return fault.Newf(fault.CodeUnknownService, fault.StepClassify, r.Service, "unknown service %q", r.Service)
}
