// Package entry builds an entry: the process that serves clients' requests and operators'
// changes over HTTP.
package entry

import (
	"time"

	"chervilridge/internal/ledger"
	"chervilridge/internal/request/parse"
	"chervilridge/internal/request/pick"
	"chervilridge/internal/settings"
)

// Options are the settings of an entry.
type Options struct {
	Name            *string
	HTTPAddress     *string
	GRPCAddress     *string
	MetricsAddress  *string
	LogAddress      *string
	Peers           *[]string
	MaxInFlight     *int64
	MaxBody         *int64
	DefaultDeadline *time.Duration
	MaxDeadline     *time.Duration
	EndpointLease   *time.Duration
	TablePoll       *time.Duration
	AppendBudget    *int64
	MaxTries        *int64
	RetryShareMilli *int64
	DrainWait       *time.Duration
	StopTimeout     *time.Duration
	Policy          *string
	DataCentre      *string
	DataCentreDelay *time.Duration
	SnapshotEvery   *time.Duration
	SnapshotEntries *int64
	MemoryMB        *int64
	MaxDescriptors  *int64
}

// NewOptions registers the settings of an entry in the set.
func NewOptions(set *settings.Set) *Options {
	return &Options{
		Name:            set.String("name", "entry-1", "name of this entry, unique in the system", true),
		HTTPAddress:     set.Address("http-address", "127.0.0.1:8080", "listen address of the HTTP API for clients and operators"),
		GRPCAddress:     set.Address("grpc-address", "127.0.0.1:8081", "listen address of the gRPC service for agents and other entries"),
		MetricsAddress:  set.Address("metrics-address", "127.0.0.1:8082", "listen address of the metrics and settings"),
		LogAddress:      set.Address("log-address", "127.0.0.1:7000", "address of the platform's log service"),
		Peers:           set.Addresses("peers", "", "initial gRPC addresses of other entries"),
		MaxInFlight:     set.Int("max-in-flight", 4096, 1, 1_000_000, "requests", "maximum number of requests in flight at this entry"),
		MaxBody:         set.Int("max-body", 4<<20, 1, 15<<20, "bytes", "maximum size of a request body"),
		DefaultDeadline: set.Duration("default-deadline", 10*time.Second, time.Millisecond, 10*time.Minute, "deadline of a request that sets none"),
		MaxDeadline:     set.Duration("max-deadline", 2*time.Minute, time.Millisecond, 10*time.Minute, "longest deadline that a request may set"),
		EndpointLease:   set.Duration("endpoint-lease", 3*time.Second, 500*time.Millisecond, time.Minute, "how long an endpoint counts as alive after its last heartbeat"),
		TablePoll:       set.Duration("table-poll", 500*time.Millisecond, 50*time.Millisecond, 10*time.Second, "how long one read of the log waits for new entries"),
		AppendBudget:    set.Int("append-budget", 20, 1, 1000, "appends/s", "maximum append rate to one stream"),
		MaxTries:        set.Int("max-tries", 3, 1, 10, "hand-overs", "maximum number of hand-offs of one request"),
		RetryShareMilli: set.Int("retry-share", 100, 0, 1000, "thousandths", "retries allowed per thousand requests"),
		DrainWait:       set.Duration("drain-wait", time.Second, 0, time.Minute, "pause between failing the readiness check and rejecting requests"),
		StopTimeout:     set.Duration("stop-timeout", 30*time.Second, time.Second, 10*time.Minute, "maximum duration of a planned stop"),
		Policy:          set.Choice("policy", pick.NameNearLeastTime, "routing policy", pick.PolicyNames()...),
		DataCentre:      set.String("data-centre", "", "data centre of this entry; if empty, distance does not affect routing", false),
		DataCentreDelay: set.Duration("data-centre-hop", 500*time.Microsecond, 0, time.Second, "one-way delay to another data centre"),
		SnapshotEvery:   set.Duration("snapshot-every", 5*time.Minute, time.Second, 24*time.Hour, "maximum time between snapshots of a stream; at most a third of the log's retention"),
		SnapshotEntries: set.Int("snapshot-entries", 5000, 10, 10_000_000, "entries", "maximum number of entries between snapshots of a stream; at most a third of the log's retention"),
		MemoryMB:        set.Int("memory-mb", 0, 0, 1<<24, "MB", "memory that the process may take, which bounds bodies and connections of clients; 0 is the machine's memory"),
		MaxDescriptors:  set.Int("max-fds", 0, 0, 1<<24, "descriptors", "open descriptors that the process may have, which bound its connections; 0 is the limit of the system"),
	}
}

// Limits returns the limits on a client's request.
func (o *Options) Limits() parse.Limits {
	return parse.Limits{MaxBodyBytes: *o.MaxBody, DefaultDeadline: *o.DefaultDeadline, MaxDeadline: *o.MaxDeadline}
}

// snapshotOptions returns when to write snapshots of the table and of the claims. The
// entries write them because they are few and append to these streams anyway; the entry
// that begins first writes the snapshot.
func (o *Options) snapshotOptions() ledger.SnapshotOptions {
	return ledger.SnapshotOptions{Interval: *o.SnapshotEvery, MaxEntries: uint64(*o.SnapshotEntries)}
}
