// Package operator follows the records that operators write to the store: configuration,
// evacuations and maintenance waves. While the store is unreachable, it reads them from a
// peer.
package operator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/operatorconfig"
	"chervilridge/platform"
)

const (
	// longPollWait is how long the store may hold a read open. A read without an answer
	// fails longPollSlack after that, which detects a dead connection.
	longPollWait  = time.Second
	longPollSlack = 500 * time.Millisecond
	// retryInterval is the pause after a failed read.
	retryInterval = 150 * time.Millisecond
	// storeLostAfterFailures is the number of consecutive failed reads after which the
	// store counts as lost.
	storeLostAfterFailures = 2
)

// Store reads the operator topic: Newest lists the newest record of each key, page by
// page, and Read returns the records from an offset on, waiting for one if there is none
// yet.
type Store interface {
	Newest(ctx context.Context, topic, after string) (platform.Page, error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Page, error)
}

// PeerReader fetches the operator records from offset known on from a peer that has newer
// ones. A known of -1 asks for all records.
type PeerReader func(ctx context.Context, known int64) (*chervilv2.OperatorReply, error)

// Follower maintains the newest view of the operator records. It is safe for concurrent
// use.
type Follower struct {
	store Store
	peers PeerReader
	view  atomic.Pointer[operatorconfig.View]

	mu         sync.Mutex
	records    map[string]platform.Record
	ignored    map[string]int64 // offset of the newest malformed record that was logged, by key
	offset     int64            // next offset to read
	lastAnswer atomic.Int64     // boottime.Instant of the last successful read
}

// NewFollower returns a follower that has no view yet. If peers is nil, only the store is
// read.
func NewFollower(store Store, peers PeerReader) *Follower {
	return &Follower{store: store, peers: peers, records: map[string]platform.Record{}, ignored: map[string]int64{}}
}

// View returns the newest view, or nil before the first one.
func (f *Follower) View() *operatorconfig.View { return f.view.Load() }

// SinceStoreAnswer returns the time since the store last answered this process.
func (f *Follower) SinceStoreAnswer() time.Duration {
	return boottime.Now().Sub(boottime.Instant(f.lastAnswer.Load()))
}

// Run reads records until ctx ends: first the newest one of each key, then each new
// record. If the store no longer keeps the records at the offset, it starts over.
func (f *Follower) Run(ctx context.Context) {
	failures := 0
	reread := true
	for ctx.Err() == nil {
		err := f.poll(ctx, &reread)
		if err == nil {
			if failures >= storeLostAfterFailures {
				events.StoreResponsive.Log("failures", failures)
			}
			failures = 0
			f.lastAnswer.Store(int64(boottime.Now()))
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if platform.KindOf(err) == platform.Gone {
			events.OperatorRecordsReread.LogError(err, "offset", f.Offset())
			reread = true
			continue
		}
		if failures++; failures == storeLostAfterFailures {
			events.StoreUnresponsive.LogError(err, "failures", failures)
		}
		f.fetchFromPeer(ctx)
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
		}
	}
}

// Offset returns the offset after the newest applied record.
func (f *Follower) Offset() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.offset
}

// poll makes one read of the store and applies the records. It reads all keys if reread
// is set, and clears reread if that succeeded.
func (f *Follower) poll(ctx context.Context, reread *bool) error {
	if *reread {
		if err := f.readAll(ctx); err != nil {
			return err
		}
		*reread = false
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, longPollWait+longPollSlack)
	defer cancel()
	from := f.Offset()
	page, err := f.store.Read(ctx, platform.OperatorTopic, from, longPollWait)
	if err != nil {
		return err
	}
	f.apply(page.Records, from+int64(len(page.Records)), nil)
	return nil
}

// readAll reads the newest record of each key. Known keys that are not listed were
// deleted.
func (f *Follower) readAll(ctx context.Context) error {
	var records []platform.Record
	listed := map[string]bool{}
	end := int64(-1)
	for after := ""; ; {
		pageCtx, cancel := context.WithTimeout(ctx, longPollWait)
		page, err := f.store.Newest(pageCtx, platform.OperatorTopic, after)
		cancel()
		if err != nil {
			return err
		}
		if end < 0 {
			end = page.End // records after the first page's end are read again, in order
		}
		for _, r := range page.Records {
			listed[r.Key] = true
			records = append(records, r)
		}
		if after = page.After; after == "" {
			break
		}
	}
	f.apply(records, end, listed)
	return nil
}

// apply stores the records and publishes a new view if any of them is new. If listed is
// not nil, known keys that are not in it are marked as deleted.
func (f *Follower) apply(records []platform.Record, offset int64, listed map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.view.Load() == nil
	for _, r := range records {
		if old, ok := f.records[r.Key]; ok && old.Offset >= r.Offset || !followed(r.Key) {
			continue
		}
		f.records[r.Key] = r
		changed = true
	}
	for key, r := range f.records {
		if listed != nil && !listed[key] && r.Offset < offset && r.Value != nil {
			r.Value = nil
			f.records[key] = r
			changed = true
		}
	}
	f.offset = max(f.offset, offset)
	if changed {
		f.publishView()
	}
}

// followed reports whether the system uses the record with the key. A key that is no text can't
// be sent to a peer.
func followed(key string) bool {
	kind, _ := platform.ClassifyOperatorKey(key)
	return kind != platform.RecordOther && utf8.ValidString(key)
}

// publishView builds a view from the records and replaces the current one. The caller
// holds mu.
func (f *Follower) publishView() {
	old := f.view.Load()
	next := &operatorconfig.View{Offset: f.offset, Evacuated: map[string]bool{}, Waves: map[string]operatorconfig.Wave{}}
	if old != nil {
		next.Config = old.Config
	}
	for key, r := range f.records {
		if r.Value == nil {
			continue
		}
		kind, name := platform.ClassifyOperatorKey(key)
		switch kind {
		case platform.RecordConfig:
			next.Config = f.newerConfig(next.Config, r)
		case platform.RecordEvacuation:
			next.Evacuated[name] = true
			if old == nil || !old.Evacuated[name] {
				events.OperatorRecordApplied.Log("evacuated", name, "offset", r.Offset)
			}
		case platform.RecordWave:
			wave, err := platform.DecodeWave(r.Value)
			if err != nil {
				f.logIgnored(r, err)
				continue
			}
			next.Waves[name] = wave
		}
	}
	if old != nil {
		for name := range old.Evacuated {
			if !next.Evacuated[name] {
				events.OperatorRecordApplied.Log("takenBack", name, "offset", f.offset)
			}
		}
	}
	f.view.Store(next)
}

// logIgnored logs a malformed record once. The caller holds mu.
func (f *Follower) logIgnored(r platform.Record, err error) {
	if offset, logged := f.ignored[r.Key]; logged && offset == r.Offset {
		return
	}
	f.ignored[r.Key] = r.Offset
	events.OperatorRecordIgnored.LogError(err, "key", r.Key, "offset", r.Offset)
}

// newerConfig returns the configuration of the record if it is valid and has a higher
// version than the current one, and the current one otherwise. So the version in effect
// never decreases. The caller holds mu.
func (f *Follower) newerConfig(current *operatorconfig.Config, r platform.Record) *operatorconfig.Config {
	config, err := platform.DecodeConfig(r.Value)
	if err != nil {
		f.logIgnored(r, err)
		return current
	}
	if !config.Supersedes(current) {
		return current
	}
	events.OperatorRecordApplied.Log("configVersion", config.Version, "offset", r.Offset, "queues", len(config.Queues))
	return config
}

// fetchFromPeer applies newer records from a peer, if one has any.
func (f *Follower) fetchFromPeer(ctx context.Context) {
	if f.peers == nil {
		return
	}
	known := f.Offset()
	if f.View() == nil {
		known = -1
	}
	reply, err := f.peers(ctx, known)
	if err != nil || reply == nil || reply.Offset <= known {
		return
	}
	records := make([]platform.Record, 0, len(reply.Records))
	for _, r := range reply.Records {
		record := platform.Record{Offset: r.Offset, Key: r.Key, Value: r.Value}
		if r.Deleted {
			record.Value = nil
		}
		records = append(records, record)
	}
	f.apply(records, reply.Offset, nil)
	events.OperatorRecordsFromPeer.Log("known", known, "offset", reply.Offset, "records", len(records))
}

// RecordsSince returns the records from offset known on, deleted ones included, to answer a
// peer.
func (f *Follower) RecordsSince(known int64) *chervilv2.OperatorReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := &chervilv2.OperatorReply{Offset: f.offset}
	for _, r := range f.records {
		if r.Offset >= known {
			reply.Records = append(reply.Records, &chervilv2.OperatorRecord{Offset: r.Offset, Key: r.Key, Value: r.Value, Deleted: r.Value == nil})
		}
	}
	return reply
}
