package ownership

import (
	"time"

	"chervilridge/internal/shard"
	"chervilridge/internal/suppression"
)

// sighting is the newest sign of life of a shard's owner.
type sighting struct {
	epoch    uint64
	owner    string // empty before the first claim and after a release
	signs    uint64
	restores uint64
	at       time.Time     // when the sign was read, or when silence began to count
	wait     time.Duration // drawn at the sign, so that few claim at once
}

func (l *Lease) owner() (epoch uint64, owner string) {
	l.follower.View(func(s *shard.State) {
		owner, _ = s.Owner()
		epoch = s.Epoch()
	})
	return epoch, owner
}

// look returns the newest sighting. Its time is when this process read the
// record, which is later than when the owner sent it. While the view is stale no
// owner counts as silent: after a log outage the owner of before has the time to
// come back.
func (l *Lease) look(old sighting) sighting {
	now := old
	now.restores = l.follower.Restores()
	l.mu.Lock()
	now.signs = l.signs
	l.mu.Unlock()
	now.epoch, now.owner = l.owner()
	changed := now.epoch != old.epoch || now.signs != old.signs || now.restores != old.restores
	if changed || old.at.IsZero() || l.stale() {
		now.at, now.wait = l.options.Now(), l.draw()
	}
	return now
}

func (l *Lease) stale() bool { return !l.follower.FreshWithin(l.options.Lease / staleShare) }

// draw spreads the candidates' claims.
func (l *Lease) draw() time.Duration { return suppression.Delay(2*l.margin(), l.options.Random()) }

// mayClaim reports whether the owner was silent for long enough. The last owner
// itself need not wait for its own lease; nobody waits for an owner that gave
// the shard up.
func (l *Lease) mayClaim(seen sighting, now time.Time) bool {
	if l.stale() {
		return false
	}
	silence := now.Sub(seen.at)
	switch seen.owner {
	case l.options.Owner:
		return true
	case "":
		return silence >= seen.wait
	}
	return silence > l.options.Lease+l.margin()+seen.wait
}
