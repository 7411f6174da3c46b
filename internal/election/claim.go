package election

import (
	"context"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/schedulestore"
	"chervilridge/platform"
)

// claim appends a claim for the next epoch, at least minEpoch, and takes over if the claim
// succeeded.
func (e *Elector) claim(ctx context.Context, previous *chervilv2.OwnerRecord, end int64, minEpoch uint64) {
	record := &chervilv2.OwnerRecord{Node: e.self.Node, Address: e.self.Address, Nonce: e.newNonce()}
	record.Epoch = max(previous.GetEpoch()+1, minEpoch)
	if !e.writeRecord(ctx, record, end) {
		return
	}
	events.OwnershipClaimed.Log("epoch", record.Epoch, "node", e.self.Node, "previous", previous.GetNode())
	if err := e.takeOver(ctx, record); err != nil {
		events.OwnershipClaimFailed.LogError(err, "epoch", record.Epoch, "step", fault.StepRestore)
		e.mu.Lock()
		e.updateOwner(record)
		e.mu.Unlock()
	}
}

// writeRecord appends the owner record and reports whether it is the newest one. An
// unanswered append is retried with the same condition, so at most one copy is stored.
func (e *Elector) writeRecord(ctx context.Context, record *chervilv2.OwnerRecord, end int64) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for ctx.Err() == nil {
		attemptCtx, cancelAttempt := context.WithTimeout(ctx, pingTimeout)
		err := schedulestore.WriteOwner(attemptCtx, e.store, record, end)
		cancelAttempt()
		if err == nil {
			return true
		}
		switch platform.KindOf(err) {
		case platform.Conflict:
			newest, _, readErr := schedulestore.ReadOwner(ctx, e.store)
			if readErr == nil {
				return sameClaim(newest, record) && newest.Released == record.Released
			}
		case platform.Invalid:
			events.OwnershipClaimFailed.LogError(err, "epoch", record.Epoch)
			return false
		}
		select {
		case <-time.After(claimRetryInterval):
		case <-ctx.Done():
		}
	}
	return false
}

// sameClaim reports whether both are records of one claim. All of its fields count: processes that
// resume together from the same state may generate the same nonce, and two owners with one epoch are fenced
// neither by the store nor by the workers.
func sameClaim(a, b *chervilv2.OwnerRecord) bool {
	return a != nil && b != nil && a.Epoch == b.Epoch && a.Node == b.Node && a.Address == b.Address && a.Nonce == b.Nonce
}

// takeOver fences the earlier owners, loads the stored state and runs an engine on it.
// Loading is retried after a new fence, until ctx ends, unless the state is invalid.
func (e *Elector) takeOver(ctx context.Context, record *chervilv2.OwnerRecord) error {
	startedAt := time.Now()
	writer := schedulestore.NewWriter(e.store, record.Epoch, e.clock)
	if err := writer.Fence(ctx); err != nil {
		return err
	}
	restored, err := schedulestore.Load(ctx, e.store)
	for err != nil && ctx.Err() == nil && !fault.Is(err, fault.CodeInternal) {
		events.OwnershipClaimFailed.LogError(err, "epoch", record.Epoch, "step", fault.StepRestore)
		if err = writer.Fence(ctx); err != nil {
			return err
		}
		restored, err = schedulestore.Load(ctx, e.store)
	}
	if err != nil {
		return err
	}
	engine := e.newEngine(writer, restored)
	events.StateLoaded.Log("epoch", record.Epoch, "jobs", len(restored.Jobs), "pairs", len(restored.Interference), "took", time.Since(startedAt))
	e.mu.Lock()
	e.updateOwner(record)
	e.engine = engine
	resigned := e.resigned
	e.mu.Unlock()
	go func() {
		engine.Run(ctx)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.engine == engine {
			e.engine = nil
			e.ownerSeenAt = e.clock()
		}
	}()
	if resigned { // while the claim was under way
		e.release(engine)
	}
	return nil
}
