// Package entry builds an entry: the process that takes the clients' requests
// and the operators' changes.
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
	Hop             *time.Duration
	SnapshotEvery   *time.Duration
	SnapshotEntries *int64
}

// NewOptions adds the settings to the set.
func NewOptions(set *settings.Set) *Options {
	return &Options{
		Name:            set.String("name", "entry-1", "name of this entry, unique in the system", true),
		HTTPAddress:     set.Address("http-address", "127.0.0.1:8080", "where clients and operators connect"),
		GRPCAddress:     set.Address("grpc-address", "127.0.0.1:8081", "where agents announce themselves"),
		MetricsAddress:  set.Address("metrics-address", "127.0.0.1:8082", "where metrics and settings are served"),
		LogAddress:      set.Address("log-address", "127.0.0.1:7000", "the platform's log service"),
		Peers:           set.Addresses("peers", "", "gRPC addresses of other entries to start from"),
		MaxInFlight:     set.Int("max-in-flight", 4096, 1, 1_000_000, "requests", "most requests in flight at this entry"),
		MaxBody:         set.Int("max-body", 4<<20, 1, 15<<20, "bytes", "largest body of a request"),
		DefaultDeadline: set.Duration("default-deadline", 10*time.Second, time.Millisecond, 10*time.Minute, "deadline of a request that names none"),
		MaxDeadline:     set.Duration("max-deadline", 2*time.Minute, time.Millisecond, 10*time.Minute, "longest deadline that a request may name"),
		EndpointLease:   set.Duration("endpoint-lease", 3*time.Second, 500*time.Millisecond, time.Minute, "how long an endpoint counts as alive after its last heartbeat"),
		TablePoll:       set.Duration("table-poll", 500*time.Millisecond, 50*time.Millisecond, 10*time.Second, "how long one read of the table waits for a change"),
		AppendBudget:    set.Int("append-budget", 20, 1, 1000, "appends/s", "most appends a second to one stream"),
		MaxTries:        set.Int("max-tries", 3, 1, 10, "hand-overs", "most hand-overs of one request"),
		RetryShareMilli: set.Int("retry-share", 100, 0, 1000, "thousandths", "share of the requests that may be repeated"),
		DrainWait:       set.Duration("drain-wait", time.Second, 0, time.Minute, "pause between failing the balancer's check and refusing requests"),
		StopTimeout:     set.Duration("stop-timeout", 30*time.Second, time.Second, 10*time.Minute, "longest planned stop"),
		Policy:          set.Choice("policy", pick.NameNearLeastTime, "routing policy", pick.PolicyNames()...),
		DataCentre:      set.String("data-centre", "", "data centre of this entry; empty prefers no endpoint for being near", false),
		Hop:             set.Duration("data-centre-hop", 500*time.Microsecond, 0, time.Second, "one-way delay to another data centre"),
		SnapshotEvery:   set.Duration("snapshot-every", 5*time.Minute, time.Second, 24*time.Hour, "longest time between snapshots of a stream; at most a third of the log's retention"),
		SnapshotEntries: set.Int("snapshot-entries", 5000, 10, 10_000_000, "entries", "most entries between snapshots of a stream; at most a third of the log's retention"),
	}
}

// Limits returns what a client may ask for.
func (o *Options) Limits() parse.Limits {
	return parse.Limits{MaxBodyBytes: *o.MaxBody, DefaultDeadline: *o.DefaultDeadline, MaxDeadline: *o.MaxDeadline}
}

// snapshots returns when the entries write snapshots of the table and the
// claims. The entries do it since they are few and write these streams anyway;
// which of them does is settled by who begins first.
func (o *Options) snapshots() ledger.SnapshotOptions {
	return ledger.SnapshotOptions{Interval: *o.SnapshotEvery, MaxEntries: uint64(*o.SnapshotEntries)}
}
