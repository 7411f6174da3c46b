package election

import (
	"context"
	"errors"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/events"
	"chervilridge/internal/schedulestore"
	"chervilridge/platform"
)

// ownerBeforeClaim returns the newest owner, the end of the owner topic and the lowest epoch
// that may be claimed. If the stored record can't be read, the newest owner is the one that
// this process and its peers know, and the epochs begin with the Unix time in milliseconds:
// the epoch in force may be unknown, must not be claimed again, and is lower, since epochs
// are counted and a claim takes longer than a millisecond.
func (e *Elector) ownerBeforeClaim(ctx context.Context) (owner *chervilv2.OwnerRecord, end int64, minEpoch uint64, err error) {
	owner, end, err = schedulestore.ReadOwner(ctx, e.store)
	if !errors.Is(err, schedulestore.ErrOwnerUnreadable) {
		return owner, end, 1, err
	}
	events.StoreRecordIgnored.LogError(err, "topic", platform.OwnerTopic)
	e.askPeersForOwner(ctx, e.Owner())
	return e.Owner(), end, uint64(max(time.Now().UnixMilli(), 1)), nil
}
