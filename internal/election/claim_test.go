package election

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"chervilridge/internal/boottime"
	"chervilridge/internal/ident"
	"chervilridge/internal/schedulestore"
	"chervilridge/platform"
)

// Guards against two owners with one epoch, each of which takes the claim of the other for its own: they
// granted the same tasks, and the store took the appends of one for repeats of those of the other, so that
// accepted jobs were lost.
func TestConflictingClaimsGiveOneOwnerWhateverNoncesAreGenerated(t *testing.T) {
	for name, newNonce := range map[string]func() string{"equal nonces": func() string { return "01KBVZ00000000000000000000" }, "generated nonces": ident.New} {
		t.Run(name, func(t *testing.T) {
			first := newRig(t, 1)
			server := httptest.NewServer(first.store.Handler("entry-2"))
			t.Cleanup(server.Close)
			store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
			second := New(Identity{Node: "entry-2", Address: "127.0.0.1:2", CPUShare: 1, LinkMbps: sufficientLinkMbps}, store, noPeers{}, boottime.Now, func() bool { return true }, first.elector.newEngine)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			_, end, err := schedulestore.ReadOwner(ctx, store) // both entries have read this
			assert.NilError(t, err)
			owners := 0
			for _, e := range []*Elector{first.elector, second} {
				e.newNonce = newNonce
				e.claim(ctx, nil, end, 1)
				if e.Engine() != nil {
					owners++
				}
			}
			assert.Equal(t, owners, 1)
			assert.Equal(t, first.storedOwner().Node, "entry-1")
		})
	}
}

// Guards against a release by a process that has been replaced: its own claim is not the newest.
func TestReplacedOwnerReleasesNoClaimOfAnother(t *testing.T) {
	r := newRig(t, 1)
	r.run()
	r.eventually("owner", func() bool { return r.elector.Engine() != nil })
	engine := r.elector.Engine()
	next := r.storedOwner()
	next.Node, next.Address = "entry-2", "127.0.0.1:2"
	_, end, err := schedulestore.ReadOwner(context.Background(), r.claims)
	assert.NilError(t, err)
	assert.NilError(t, schedulestore.WriteOwner(context.Background(), r.claims, next, end))
	r.elector.release(engine)
	assert.Assert(t, !r.storedOwner().Released, fmt.Sprint(r.storedOwner()))
}
