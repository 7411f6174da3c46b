package schedulestore

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/events"
	"chervilridge/internal/jobstate"
	"chervilridge/platform"
)

// Keys of the state topic. A job has one record for its specification and one for its
// progress.
const (
	specPrefix     = "s/"
	progressPrefix = "p/"
	// interferenceKey is the key of the learned interference between images.
	interferenceKey = "l/interference"
	// wavePrefix is the prefix of the keys of maintenance waves.
	wavePrefix = "w/"
	// ungrantedKey is the key of the agents that owners have granted no lease for a while.
	ungrantedKey = "n/silent"
)

// State is the state of the schedule that a new owner loads.
type State struct {
	Jobs map[string]*jobstate.Job
	// Unreadable holds the IDs of jobs that cannot be read. They must neither run, since a task
	// could run twice, nor be denied.
	Unreadable map[string]bool
	// Interference is nil if no interference was learned.
	Interference []*chervilv2.Interference
	// Waves holds the maintenance waves that have begun, by name.
	Waves map[string]*chervilv2.WaveProgress
	// UngrantedMs is a lower bound of the age of the confirmation of ownership that a node's
	// last lease may rest on, in milliseconds by node name.
	UngrantedMs map[string]int64
}

const loadTimeout = 2 * time.Second

// SpecRecord returns the record of a job's specification.
func SpecRecord(spec *chervilv2.JobSpec) (platform.Record, error) {
	value, err := proto.Marshal(spec)
	return platform.Record{Key: specPrefix + spec.Id, Value: value}, err
}

// ProgressRecord returns the record of the progress of the job with the ID.
func ProgressRecord(id string, progress *chervilv2.JobProgress) (platform.Record, error) {
	value, err := proto.Marshal(progress)
	if len(value) == 0 {
		value = []byte{0x08, 0x00} // an explicit default: a record without a value deletes its key
	}
	return platform.Record{Key: progressPrefix + id, Value: value}, err
}

// DeletionRecords returns the records that delete a job's records.
func DeletionRecords(id string) []platform.Record {
	return []platform.Record{{Key: specPrefix + id}, {Key: progressPrefix + id}}
}

// InterferenceRecord returns the record of the learned interference.
func InterferenceRecord(pairs []*chervilv2.Interference) (platform.Record, error) {
	value, err := proto.Marshal(&chervilv2.LearnedInterference{Pairs: pairs})
	return platform.Record{Key: interferenceKey, Value: value}, err
}

// WaveRecord returns the record of a maintenance wave's progress.
func WaveRecord(p *chervilv2.WaveProgress) (platform.Record, error) {
	value, err := proto.Marshal(p)
	return platform.Record{Key: wavePrefix + p.Wave, Value: value}, err
}

// UngrantedRecord returns the record of the agents without a lease; see State.UngrantedMs.
func UngrantedRecord(ungrantedMs map[string]int64) (platform.Record, error) {
	value, err := proto.Marshal(&chervilv2.SilentAgents{SilentMs: ungrantedMs})
	return platform.Record{Key: ungrantedKey, Value: value}, err
}

// Load reads the newest state. The caller must have fenced older writers. A record that cannot
// be read is logged and left out, so that it does not stop each owner that loads it: its job
// is listed as unreadable, its wave restarts, and interference and lease times are reset.
func Load(ctx context.Context, store Store) (*State, error) {
	l := newLoader()
	for after := ""; ; {
		page, err := readPage(ctx, store, platform.StateTopic, after)
		if err != nil {
			return nil, err
		}
		for _, r := range page.Records {
			l.add(r)
		}
		if after = page.After; after == "" {
			return l.state(), nil
		}
	}
}

// loader collects the records of the state.
type loader struct {
	specs      map[string]*chervilv2.JobSpec
	progress   map[string]*chervilv2.JobProgress
	waves      map[string]*chervilv2.WaveProgress
	learned    *chervilv2.LearnedInterference
	ungranted  *chervilv2.SilentAgents
	unreadable map[string]bool
}

func newLoader() *loader {
	return &loader{
		specs: map[string]*chervilv2.JobSpec{}, progress: map[string]*chervilv2.JobProgress{}, waves: map[string]*chervilv2.WaveProgress{},
		learned: &chervilv2.LearnedInterference{}, ungranted: &chervilv2.SilentAgents{}, unreadable: map[string]bool{},
	}
}

// add decodes a record. It skips records without a value, which mark deleted keys.
func (l *loader) add(r platform.Record) {
	specID, isSpec := strings.CutPrefix(r.Key, specPrefix)
	progressID, isProgress := strings.CutPrefix(r.Key, progressPrefix)
	wave, isWave := strings.CutPrefix(r.Key, wavePrefix)
	switch {
	case len(r.Value) == 0:
	case isSpec:
		if spec := (&chervilv2.JobSpec{}); decode(r, spec) {
			l.specs[specID] = spec
		} else {
			l.unreadable[specID] = true
		}
	case isProgress:
		if progress := (&chervilv2.JobProgress{}); decode(r, progress) {
			l.progress[progressID] = progress
		} else {
			l.unreadable[progressID] = true
		}
	case isWave:
		if progress := (&chervilv2.WaveProgress{}); decode(r, progress) {
			l.waves[wave] = progress
		}
	case r.Key == interferenceKey:
		decode(r, l.learned)
	case r.Key == ungrantedKey:
		decode(r, l.ungranted)
	default:
		events.StoreRecordIgnored.Log("topic", platform.StateTopic, "key", r.Key, "offset", r.Offset)
	}
}

// decode decodes a record into the message. If that fails, it logs the record, clears the
// message and returns false.
func decode(r platform.Record, message proto.Message) bool {
	err := proto.Unmarshal(r.Value, message)
	if err != nil {
		events.StoreRecordIgnored.LogError(err, "topic", platform.StateTopic, "key", r.Key, "offset", r.Offset)
		proto.Reset(message)
	}
	return err == nil
}

// state returns the state that the records describe.
func (l *loader) state() *State {
	jobs := make(map[string]*jobstate.Job, len(l.specs))
	for id, spec := range l.specs {
		if l.unreadable[id] {
			continue
		}
		job, err := jobstate.Restore(spec, l.progress[id])
		if err != nil {
			events.StoreRecordIgnored.LogError(err, "topic", platform.StateTopic, "key", progressPrefix+id)
			l.unreadable[id] = true
			continue
		}
		jobs[id] = job
	}
	return &State{Jobs: jobs, Unreadable: l.unreadable, Interference: l.learned.Pairs, Waves: l.waves, UngrantedMs: l.ungranted.SilentMs}
}

// readPage returns a page of the newest record of each key, after the given key.
func readPage(ctx context.Context, store Store, topic, after string) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return store.Newest(ctx, topic, after)
}

// ErrOwnerUnreadable is returned if the owner topic holds a record that is no claim.
var ErrOwnerUnreadable = errors.New("the stored record of the owner cannot be read")

// ReadOwner returns the newest claim of ownership, or nil if there is none, and the end of
// the owner topic, which WriteOwner needs. The end is valid with ErrOwnerUnreadable too.
func ReadOwner(ctx context.Context, store Store) (*chervilv2.OwnerRecord, int64, error) {
	page, err := readPage(ctx, store, platform.OwnerTopic, "")
	if err != nil {
		return nil, 0, err
	}
	for _, r := range page.Records {
		if r.Key != ownerKey {
			continue
		}
		owner := &chervilv2.OwnerRecord{}
		if err := proto.Unmarshal(r.Value, owner); err != nil {
			return nil, page.End, fmt.Errorf("%w: offset %d: %w", ErrOwnerUnreadable, r.Offset, err)
		}
		if owner.Epoch == 0 || owner.Address == "" {
			return nil, page.End, fmt.Errorf("%w: offset %d: no epoch or address", ErrOwnerUnreadable, r.Offset)
		}
		return owner, page.End, nil
	}
	return nil, page.End, nil
}

const ownerKey = "owner"

// WriteOwner appends a claim of ownership, unless the owner topic has grown beyond end.
func WriteOwner(ctx context.Context, store Store, owner *chervilv2.OwnerRecord, end int64) error {
	value, err := proto.Marshal(owner)
	if err != nil {
		return err
	}
	_, err = store.Append(ctx, platform.AppendRequest{
		Topic: platform.OwnerTopic, Records: []platform.Record{{Key: ownerKey, Value: value}}, ExpectedEnd: &end,
	})
	return err
}
