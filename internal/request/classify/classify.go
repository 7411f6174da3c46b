// Package classify looks up a request's service and client in the table.
package classify

import (
	"context"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/fault"
	"chervilridge/internal/request"
)

const retryAdvice = time.Second

// Rows finds rows of the table in force; nil if there is none.
type Rows interface {
	Row(kind pb.RowKind, name string) *pb.Row
	// Version returns the version of the table; 0 before it was read.
	Version() uint64
}

// Services tells which services have announced endpoints.
type Services interface {
	Known(service string) bool
}

// Filter is the stage.
type Filter struct {
	next     request.Handler
	rows     Rows
	services Services
}

// New returns the stage in front of next.
func New(next request.Handler, rows Rows, services Services) *Filter {
	return &Filter{next: next, rows: rows, services: services}
}

// Handle sets weight, limit and allowed data centres, and refuses a service
// that neither the table nor an endpoint knows.
func (f *Filter) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	service := f.rows.Row(pb.RowKind_ROW_KIND_SERVICE, r.Service)
	if service == nil && !f.services.Known(r.Service) {
		return nil, f.unknown(r)
	}
	r.Allowed = service.GetDataCentres()
	r.ServiceLimit = service.GetLimit()
	r.Weight = 1
	if client := f.rows.Row(pb.RowKind_ROW_KIND_CLIENT, r.Client); client != nil {
		r.Weight = client.Weight
		r.ClientLimit = client.Limit
	}
	return f.next.Handle(ctx, r)
}

// unknown tells a service that does not exist from one that this entry cannot
// know of yet.
func (f *Filter) unknown(r *request.Request) error {
	if f.rows.Version() == 0 {
		return fault.Newf(fault.CodeNoEndpoint, fault.StepClassify, r.Service, "no endpoint of %q known so far, table not read", r.Service).
			WithRetryAfter(retryAdvice)
	}
	return fault.Newf(fault.CodeUnknownService, fault.StepClassify, r.Service, "no service %q", r.Service)
}
