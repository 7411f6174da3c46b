package schedulestore

import (
	"context"
	"sync"

	"chervilridge/internal/boottime"
	"chervilridge/platform"
)

// waveProducerPrefix precedes the name of a wave in the name of its producer.
const waveProducerPrefix = "wave/"

// WavePublisher publishes the states of maintenance waves in the status topic. It is safe for
// concurrent use.
//
// The states of a wave are appends of one producer, so that a state that the store executes late
// can't replace a newer one, nor one of a newer owner.
type WavePublisher struct {
	store Store
	clock boottime.Clock

	mu      sync.Mutex
	epoch   uint64
	writers map[string]*Writer // of the epoch, by wave
}

// NewWavePublisher returns a publisher that has published nothing.
func NewWavePublisher(store Store, clock boottime.Clock) *WavePublisher {
	return &WavePublisher{store: store, clock: clock}
}

// Publish publishes the state of a wave for the owner with the epoch. After an error the state
// may be published, or may be later. It returns ErrFenced for an older owner than one that has
// published the wave, and otherwise the errors of Writer.Append.
func (p *WavePublisher) Publish(ctx context.Context, epoch uint64, wave string, completed bool) error {
	record, err := platform.WaveStatusRecord(wave, completed)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w, err := p.writer(epoch, wave)
	if err != nil {
		return err
	}
	if w.Uncertain() { // the writer accepts no other records before
		if err := w.Append(ctx, w.unresolved); err != nil {
			return err
		}
	}
	return w.Append(ctx, []platform.Record{record})
}

// writer returns the writer of a wave. The caller holds mu.
func (p *WavePublisher) writer(epoch uint64, wave string) (*Writer, error) {
	if epoch < p.epoch {
		return nil, ErrFenced
	}
	if epoch > p.epoch {
		p.epoch, p.writers = epoch, map[string]*Writer{}
	}
	w := p.writers[wave]
	if w == nil {
		w = newWriter(p.store, platform.StatusTopic, waveProducerPrefix+wave, epoch, p.clock)
		p.writers[wave] = w
	}
	return w, nil
}
