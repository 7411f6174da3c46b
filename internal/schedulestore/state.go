package schedulestore

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
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

// ProgressRecord returns the record of a job's progress.
func ProgressRecord(job *jobstate.Job) (platform.Record, error) {
	value, err := proto.Marshal(job.Record())
	if len(value) == 0 {
		value = []byte{0x08, 0x00} // an explicit default: a record without a value deletes its key
	}
	return platform.Record{Key: progressPrefix + job.Spec.Id, Value: value}, err
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

// Load reads the newest state. The caller must have fenced older writers. A job or wave that
// cannot be decoded fails the load, since a task could run twice if the state were guessed.
// Unreadable interference and lease times are logged and left out.
func Load(ctx context.Context, store Store) (*State, error) {
	learned := &chervilv2.LearnedInterference{}
	waves := map[string]*chervilv2.WaveProgress{}
	ungranted := &chervilv2.SilentAgents{}
	specs := map[string]*chervilv2.JobSpec{}
	progress := map[string]*chervilv2.JobProgress{}
	for after := ""; ; {
		page, err := readPage(ctx, store, platform.StateTopic, after)
		if err != nil {
			return nil, err
		}
		for _, r := range page.Records {
			if r.Key == interferenceKey {
				if err := proto.Unmarshal(r.Value, learned); err != nil {
					events.StoreRecordIgnored.LogError(err, "topic", platform.StateTopic, "key", r.Key, "offset", r.Offset)
					learned.Reset() // interference is learned again
				}
				continue
			}
			if r.Key == ungrantedKey {
				if err := proto.Unmarshal(r.Value, ungranted); err != nil {
					events.StoreRecordIgnored.LogError(err, "topic", platform.StateTopic, "key", r.Key, "offset", r.Offset)
					ungranted.Reset() // the owner waits for these leases in full
				}
				continue
			}
			if name, ok := strings.CutPrefix(r.Key, wavePrefix); ok && len(r.Value) > 0 {
				waves[name] = &chervilv2.WaveProgress{}
				if err := proto.Unmarshal(r.Value, waves[name]); err != nil {
					return nil, fault.Wrap(err, fault.CodeInternal, fault.StepRestore, r.Key, "cannot decode a stored record")
				}
				continue
			}
			if err := decodeJobRecord(r, specs, progress); err != nil {
				return nil, fault.Wrap(err, fault.CodeInternal, fault.StepRestore, r.Key, "cannot decode a stored record")
			}
		}
		if after = page.After; after == "" {
			break
		}
	}
	jobs := make(map[string]*jobstate.Job, len(specs))
	for id, spec := range specs {
		job, err := jobstate.Restore(spec, progress[id])
		if err != nil {
			return nil, fault.Wrap(err, fault.CodeInternal, fault.StepRestore, id, "stored progress does not fit the job")
		}
		jobs[id] = job
	}
	return &State{Jobs: jobs, Interference: learned.Pairs, Waves: waves, UngrantedMs: ungranted.SilentMs}, nil
}

// readPage returns a page of the newest record of each key, after the given key.
func readPage(ctx context.Context, store Store, topic, after string) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return store.Newest(ctx, topic, after)
}

// decodeJobRecord decodes the specification or progress of a job into specs or progress. It
// skips records without a value, which mark deleted keys, and logs unknown keys.
func decodeJobRecord(r platform.Record, specs map[string]*chervilv2.JobSpec, progress map[string]*chervilv2.JobProgress) error {
	if len(r.Value) == 0 {
		return nil
	}
	if id, ok := strings.CutPrefix(r.Key, specPrefix); ok {
		spec := &chervilv2.JobSpec{}
		specs[id] = spec
		return proto.Unmarshal(r.Value, spec)
	}
	if id, ok := strings.CutPrefix(r.Key, progressPrefix); ok {
		p := &chervilv2.JobProgress{}
		progress[id] = p
		return proto.Unmarshal(r.Value, p)
	}
	events.StoreRecordIgnored.Log("topic", platform.StateTopic, "key", r.Key, "offset", r.Offset)
	return nil
}

// ReadOwner returns the newest claim of ownership, or nil if there is none, and the end of
// the owner topic, which WriteOwner needs.
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
			return nil, 0, fault.Wrap(err, fault.CodeInternal, fault.StepRestore, r.Key, "cannot decode the owner record")
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
