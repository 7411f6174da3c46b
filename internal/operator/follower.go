// Package operator follows what the operator writes: configuration, evacuations and
// maintenance waves. While the store does not serve this process, a peer's copy does.
package operator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/catalog"
	"chervilridge/internal/events"
	"chervilridge/platform"
)

const (
	// readWait is how long the store may hold a read open; a connection that went
	// silent is noticed readSlack after that.
	readWait  = time.Second
	readSlack = 500 * time.Millisecond
	// retryPause is the pause after a failed read.
	retryPause = 150 * time.Millisecond
	// lostAfter is how many reads must fail in a row for the store to count as lost.
	lostAfter = 2
)

// Store is what the follower reads from.
type Store interface {
	Newest(ctx context.Context, topic, after string) (platform.Page, error)
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Page, error)
}

// Peers returns records of the operator from a peer that has newer ones.
type Peers func(ctx context.Context, known int64) (*chervilv2.OperatorReply, error)

// Follower keeps the newest view. It is safe for concurrent use.
type Follower struct {
	store Store
	peers Peers
	view  atomic.Pointer[catalog.View]

	mu      sync.Mutex
	records map[string]platform.Record
	offset  int64        // after the newest record taken in
	reached atomic.Int64 // boottime.Instant of the store's last answer
}

// NewFollower returns a follower without a view. peers may be nil.
func NewFollower(store Store, peers Peers) *Follower {
	return &Follower{store: store, peers: peers, records: map[string]platform.Record{}}
}

// View returns the newest view, or nil before the first one.
func (f *Follower) View() *catalog.View { return f.view.Load() }

// StoreSilent returns how long ago the store last answered this process.
func (f *Follower) StoreSilent() time.Duration {
	return boottime.Now().Sub(boottime.Instant(f.reached.Load()))
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	failures := 0
	reread := true
	for ctx.Err() == nil {
		err := f.step(ctx, &reread)
		if err == nil {
			if failures >= lostAfter {
				events.StoreRegained.Log("failures", failures)
			}
			failures = 0
			f.reached.Store(int64(boottime.Now()))
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if platform.KindOf(err) == platform.Gone {
			events.OperatorReread.LogError(err, "offset", f.Offset())
			reread = true
			continue
		}
		if failures++; failures == lostAfter {
			events.StoreLost.LogError(err, "failures", failures)
		}
		f.askPeers(ctx)
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
		}
	}
}

// Offset returns the position after the newest record taken in.
func (f *Follower) Offset() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.offset
}

func (f *Follower) step(ctx context.Context, reread *bool) error {
	if *reread {
		if err := f.readAll(ctx); err != nil {
			return err
		}
		*reread = false
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readWait+readSlack)
	defer cancel()
	from := f.Offset()
	page, err := f.store.Read(ctx, platform.OperatorTopic, from, readWait)
	if err != nil {
		return err
	}
	f.take(page.Records, from+int64(len(page.Records)), nil)
	return nil
}

// readAll reads the newest record of each key; a key that is not listed was deleted.
func (f *Follower) readAll(ctx context.Context) error {
	var records []platform.Record
	listed := map[string]bool{}
	end := int64(-1)
	for after := ""; ; {
		pageCtx, cancel := context.WithTimeout(ctx, readWait)
		page, err := f.store.Newest(pageCtx, platform.OperatorTopic, after)
		cancel()
		if err != nil {
			return err
		}
		if end < 0 {
			end = page.End // records after it are read again, in order
		}
		for _, r := range page.Records {
			listed[r.Key] = true
			records = append(records, r)
		}
		if after = page.After; after == "" {
			break
		}
	}
	f.take(records, end, listed)
	return nil
}

// take takes records in and publishes a new view if anything changed. If listed is not
// nil, keys that it lacks are dropped.
func (f *Follower) take(records []platform.Record, offset int64, listed map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.view.Load() == nil
	for _, r := range records {
		if old, ok := f.records[r.Key]; ok && old.Offset >= r.Offset {
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
		f.publish()
	}
}

func (f *Follower) publish() {
	old := f.view.Load()
	next := &catalog.View{Offset: f.offset, Evacuated: map[string]bool{}, Waves: map[string]catalog.Wave{}}
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
			next.Config = newerConfig(next.Config, r)
		case platform.RecordEvacuation:
			next.Evacuated[name] = true
			if old == nil || !old.Evacuated[name] {
				events.OperatorRecordTaken.Log("evacuated", name, "offset", r.Offset)
			}
		case platform.RecordWave:
			wave, err := platform.DecodeWave(r.Value)
			if err != nil {
				events.OperatorRecordIgnored.LogError(err, "key", key, "offset", r.Offset)
				continue
			}
			next.Waves[name] = wave
		}
	}
	if old != nil {
		for name := range old.Evacuated {
			if !next.Evacuated[name] {
				events.OperatorRecordTaken.Log("takenBack", name, "offset", f.offset)
			}
		}
	}
	f.view.Store(next)
}

// newerConfig returns the configuration of a record if it is readable and newer than
// the one in force: a configuration never goes back.
func newerConfig(current *catalog.Config, r platform.Record) *catalog.Config {
	config, err := platform.DecodeConfig(r.Value)
	if err != nil {
		events.OperatorRecordIgnored.LogError(err, "key", r.Key, "offset", r.Offset)
		return current
	}
	if current != nil && config.Version <= current.Version {
		return current
	}
	events.OperatorRecordTaken.Log("configVersion", config.Version, "offset", r.Offset, "queues", len(config.Queues))
	return config
}

// askPeers takes newer records from a peer.
func (f *Follower) askPeers(ctx context.Context) {
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
	f.take(records, reply.Offset, nil)
	events.OperatorFromPeer.Log("known", known, "offset", reply.Offset, "records", len(records))
}

// Since returns the records after a position, for a peer.
func (f *Follower) Since(known int64) *chervilv2.OperatorReply {
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
