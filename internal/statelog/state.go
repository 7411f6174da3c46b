package statelog

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/work"
	"chervilridge/platform"
)

// Keys of the state topic: a job has a record for what it asks for and one for its
// progress.
const (
	specPrefix     = "s/"
	progressPrefix = "p/"
	// learnedKey is what was learned of interference between images.
	learnedKey = "l/interference"
	// wavePrefix begins the keys of maintenance waves.
	wavePrefix = "w/"
	// silentKey is which agents owners have granted nothing, and for how long.
	silentKey = "n/silent"
)

// Restored is what a new owner finds in the store.
type Restored struct {
	Jobs map[string]*work.Job
	// Interference is nil if nothing was learned.
	Interference []*chervilv2.Interference
	// Waves are maintenance waves that have begun, by name.
	Waves map[string]*chervilv2.WaveProgress
	// SilentMs is for how long at least owners have granted a node nothing, by its name.
	SilentMs map[string]int64
}

const loadTimeout = 2 * time.Second

// SpecRecord returns the record of what a job asks for.
func SpecRecord(spec *chervilv2.JobSpec) (platform.Record, error) {
	value, err := proto.Marshal(spec)
	return platform.Record{Key: specPrefix + spec.Id, Value: value}, err
}

// ProgressRecord returns the record of a job's progress.
func ProgressRecord(job *work.Job) (platform.Record, error) {
	value, err := proto.Marshal(job.Record())
	if len(value) == 0 {
		value = []byte{0x08, 0x00} // an explicit default: a record without a value deletes its key
	}
	return platform.Record{Key: progressPrefix + job.Spec.Id, Value: value}, err
}

// ForgetRecords return the records that delete a job.
func ForgetRecords(id string) []platform.Record {
	return []platform.Record{{Key: specPrefix + id}, {Key: progressPrefix + id}}
}

// LearnedRecord returns the record of what was learned of interference.
func LearnedRecord(pairs []*chervilv2.Interference) (platform.Record, error) {
	value, err := proto.Marshal(&chervilv2.LearnedInterference{Pairs: pairs})
	return platform.Record{Key: learnedKey, Value: value}, err
}

// WaveRecord returns the record of how far a maintenance wave is.
func WaveRecord(p *chervilv2.WaveProgress) (platform.Record, error) {
	value, err := proto.Marshal(p)
	return platform.Record{Key: wavePrefix + p.Wave, Value: value}, err
}

// SilentRecord returns the record of the agents to which nothing was granted for a while.
func SilentRecord(silentMs map[string]int64) (platform.Record, error) {
	value, err := proto.Marshal(&chervilv2.SilentAgents{SilentMs: silentMs})
	return platform.Record{Key: silentKey, Value: value}, err
}

// Load reads all jobs and what was learned. The caller must have fenced older writers. A job whose progress
// is not readable fails the load, since to guess could run its tasks twice.
func Load(ctx context.Context, store Store) (*Restored, error) {
	learned := &chervilv2.LearnedInterference{}
	waves := map[string]*chervilv2.WaveProgress{}
	silent := &chervilv2.SilentAgents{}
	specs := map[string]*chervilv2.JobSpec{}
	progress := map[string]*chervilv2.JobProgress{}
	for after := ""; ; {
		page, err := newest(ctx, store, platform.StateTopic, after)
		if err != nil {
			return nil, err
		}
		for _, r := range page.Records {
			if r.Key == learnedKey {
				if err := proto.Unmarshal(r.Value, learned); err != nil {
					events.StoreRecordIgnored.LogError(err, "topic", platform.StateTopic, "key", r.Key, "offset", r.Offset)
					learned.Reset() // it is learned anew
				}
				continue
			}
			if r.Key == silentKey {
				if err := proto.Unmarshal(r.Value, silent); err != nil {
					events.StoreRecordIgnored.LogError(err, "topic", platform.StateTopic, "key", r.Key, "offset", r.Offset)
					silent.Reset() // their leases are waited for in full
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
			if err := decode(r, specs, progress); err != nil {
				return nil, fault.Wrap(err, fault.CodeInternal, fault.StepRestore, r.Key, "cannot decode a stored record")
			}
		}
		if after = page.After; after == "" {
			break
		}
	}
	jobs := make(map[string]*work.Job, len(specs))
	for id, spec := range specs {
		job, err := work.Restore(spec, progress[id])
		if err != nil {
			return nil, fault.Wrap(err, fault.CodeInternal, fault.StepRestore, id, "stored progress does not fit the job")
		}
		jobs[id] = job
	}
	return &Restored{Jobs: jobs, Interference: learned.Pairs, Waves: waves, SilentMs: silent.SilentMs}, nil
}

func newest(ctx context.Context, store Store, topic, after string) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return store.Newest(ctx, topic, after)
}

func decode(r platform.Record, specs map[string]*chervilv2.JobSpec, progress map[string]*chervilv2.JobProgress) error {
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

// ReadOwner returns the newest claim of the ownership and the offset at which the next
// one has to be appended; nil if nobody ever claimed it.
func ReadOwner(ctx context.Context, store Store) (*chervilv2.OwnerRecord, int64, error) {
	page, err := newest(ctx, store, platform.OwnerTopic, "")
	if err != nil {
		return nil, 0, err
	}
	for _, r := range page.Records {
		if r.Key != ownerKey {
			continue
		}
		owner := &chervilv2.OwnerRecord{}
		if err := proto.Unmarshal(r.Value, owner); err != nil {
			return nil, 0, fault.Wrap(err, fault.CodeInternal, fault.StepRestore, r.Key, "cannot decode the owner's record")
		}
		return owner, page.End, nil
	}
	return nil, page.End, nil
}

const ownerKey = "owner"

// WriteOwner appends a claim, if no other was appended since the end was read.
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
