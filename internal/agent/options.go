// Package agent builds an agent: the process beside an endpoint that admits its
// requests, runs the worker's tasks and may own a shard.
package agent

import (
	"time"

	"chervilridge/internal/scheduler/owner"
	"chervilridge/internal/settings"
)

// Options are the settings of an agent.
type Options struct {
	Name            *string
	GRPCAddress     *string
	MetricsAddress  *string
	LogAddress      *string
	WorkerAddress   *string
	Worker          *string
	Entries         *[]string
	Service         *string
	Endpoint        *string
	Region          *string
	DataCentre      *string
	Slots           *int64
	Connections     *int64
	Queue           *int64
	Shards          *int64
	Candidacies     *int64
	AnnounceEvery   *time.Duration
	BeatEvery       *time.Duration
	ShardLease      *time.Duration
	Grant           *time.Duration
	JobRetention    *time.Duration
	TablePoll       *time.Duration
	AppendBudget    *int64
	AnswerRetention *time.Duration
	StopTimeout     *time.Duration
	SnapshotEvery   *time.Duration
	SnapshotEntries *int64
}

// NewOptions adds the settings to the set.
func NewOptions(set *settings.Set) *Options {
	return &Options{
		Name:            set.String("name", "agent-1", "name of this agent, unique in the system", true),
		GRPCAddress:     set.Address("grpc-address", "127.0.0.1:9001", "where entries and agents connect"),
		MetricsAddress:  set.Address("metrics-address", "127.0.0.1:9002", "where metrics and settings are served"),
		LogAddress:      set.Address("log-address", "127.0.0.1:7000", "the platform's log service"),
		WorkerAddress:   set.Address("worker-address", "127.0.0.1:7000", "the platform's worker service"),
		Worker:          set.String("worker", "", "name of the worker beside this agent; empty if there is none", false),
		Entries:         set.Addresses("entries", "127.0.0.1:8081", "gRPC addresses of entries to start from"),
		Service:         set.String("service", "quotedesk", "service of the endpoint", true),
		Endpoint:        set.Address("endpoint", "127.0.0.1:9100", "the endpoint beside this agent"),
		Region:          set.String("region", "pnw", "region of this instance", true),
		DataCentre:      set.String("data-centre", "pnw-a", "data centre of this instance", true),
		Slots:           set.Int("slots", 8, 1, 10_000, "requests", "most requests that the endpoint runs at once"),
		Connections:     set.Int("connections", 64, 1, 10_000, "connections", "most connections to the endpoint"),
		Queue:           set.Int("queue", 64, 0, 100_000, "requests", "most requests that wait for a slot"),
		Shards:          set.Int("shards", 1, 1, 1024, "shards", "number of shards; the same in the whole system"),
		Candidacies:     set.Int("candidacies", 4, 1, 1024, "shards", "most shards that this agent may own; it follows the log of no others"),
		AnnounceEvery:   set.Duration("announce-every", 500*time.Millisecond, 50*time.Millisecond, 10*time.Second, "time between heartbeats to the entries"),
		BeatEvery:       set.Duration("beat-every", 500*time.Millisecond, 50*time.Millisecond, 10*time.Second, "time between heartbeats to the shard's owner"),
		ShardLease:      set.Duration("shard-lease", 5*time.Second, 500*time.Millisecond, 5*time.Minute, "length of a shard lease"),
		Grant:           set.Duration("grant", 30*time.Second, 5*time.Second, time.Hour, "how long a task may run without renewal"),
		JobRetention:    set.Duration("job-retention", owner.DefaultJobRetention, time.Minute, 30*24*time.Hour, "how long an ended job, its results and its idempotency key are kept"),
		TablePoll:       set.Duration("table-poll", 500*time.Millisecond, 50*time.Millisecond, 700*time.Millisecond, "how long one read of the log waits for a record; the view is up to two polls old, and starts need one of 1.5 s or less"),
		AppendBudget:    set.Int("append-budget", 20, 1, 1000, "appends/s", "most appends a second to one stream"),
		AnswerRetention: set.Duration("answer-retention", 10*time.Minute, time.Minute, 24*time.Hour, "how long the outcome of a request is kept"),
		StopTimeout:     set.Duration("stop-timeout", 30*time.Second, time.Second, 10*time.Minute, "longest planned stop"),
		SnapshotEvery:   set.Duration("snapshot-every", 5*time.Minute, time.Second, 24*time.Hour, "longest time between snapshots of a stream; at most a third of the log's retention"),
		SnapshotEntries: set.Int("snapshot-entries", 5000, 10, 10_000_000, "entries", "most entries between snapshots of a stream; at most a third of the log's retention"),
	}
}
