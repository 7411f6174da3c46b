// Package agent assembles an agent: the process beside an endpoint that admits and runs the
// endpoint's requests.
package agent

import (
	"time"

	"chervilridge/internal/settings"
)

// Options are the settings of an agent.
type Options struct {
	Name            *string
	GRPCAddress     *string
	MetricsAddress  *string
	LogAddress      *string
	Entries         *[]string
	Service         *string
	Endpoint        *string
	Region          *string
	DataCentre      *string
	Slots           *int64
	Connections     *int64
	Queue           *int64
	AnnounceEvery   *time.Duration
	TablePoll       *time.Duration
	AnswerRetention *time.Duration
	StopTimeout     *time.Duration
	MemoryMB        *int64
	MaxDescriptors  *int64
}

// NewOptions registers the settings of an agent in the set.
func NewOptions(set *settings.Set) *Options {
	return &Options{
		Name:            set.String("name", "agent-1", "name of this agent, unique in the system", true),
		GRPCAddress:     set.Address("grpc-address", "127.0.0.1:9001", "where entries connect"),
		MetricsAddress:  set.Address("metrics-address", "127.0.0.1:9002", "where metrics and settings are served"),
		LogAddress:      set.Address("log-address", "127.0.0.1:7000", "the platform's log service"),
		Entries:         set.Addresses("entries", "127.0.0.1:8081", "gRPC addresses of entries to start from"),
		Service:         set.String("service", "quotedesk", "service of the endpoint", true),
		Endpoint:        set.Address("endpoint", "127.0.0.1:9100", "the endpoint beside this agent"),
		Region:          set.String("region", "pnw", "region of this instance", true),
		DataCentre:      set.String("data-centre", "pnw-a", "data centre of this instance", true),
		Slots:           set.Int("slots", 8, 1, 10_000, "requests", "most requests that the endpoint runs at once"),
		Connections:     set.Int("connections", 64, 1, 10_000, "connections", "most connections to the endpoint"),
		Queue:           set.Int("queue", 64, 0, 100_000, "requests", "most requests that wait for a slot"),
		AnnounceEvery:   set.Duration("announce-every", 500*time.Millisecond, 50*time.Millisecond, 10*time.Second, "time between heartbeats to the entries"),
		TablePoll:       set.Duration("table-poll", 500*time.Millisecond, 50*time.Millisecond, 700*time.Millisecond, "how long one read of the log waits for a record; the view is up to two polls old, and starts need one of 1.5 s or less"),
		AnswerRetention: set.Duration("answer-retention", 10*time.Minute, time.Minute, 24*time.Hour, "how long the outcome of a request is kept"),
		StopTimeout:     set.Duration("stop-timeout", 30*time.Second, time.Second, 10*time.Minute, "longest planned stop"),
		MemoryMB:        set.Int("memory-mb", 0, 0, 1<<24, "MB", "memory that the process may take, which bounds the connections of clients; 0 is the machine's memory"),
		MaxDescriptors:  set.Int("max-fds", 0, 0, 1<<24, "descriptors", "open descriptors that the process may have, which bound its connections; 0 is the limit of the system"),
	}
}
