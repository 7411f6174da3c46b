package operator

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/standin/metastore"
	"chervilridge/platform"
)

const patience = 10 * time.Second

const config = `{"version":%d,"routes":[{"name":"q","hostname":"h","path-prefix":"/q/","backend":"d"}],"services":[{"name":"d"}],"limits":{}}`

func versioned(n string) []byte { return []byte(strings.Replace(config, "%d", n, 1)) }

// follow runs a follower over a stand-in store.
func follow(t *testing.T, peers Peers) (*Follower, *metastore.Server) {
	server := metastore.NewServer(metastore.NewState(), 1)
	http := httptest.NewServer(server.Handler(""))
	f := NewFollower(platform.NewStore(strings.TrimPrefix(http.URL, "http://")), peers)
	ctx, cancel := context.WithCancel(context.Background())
	go f.Run(ctx)
	t.Cleanup(func() {
		cancel()
		http.CloseClientConnections()
		http.Close()
	})
	return f, server
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s: not within %v", what, patience)
}

func (f *Follower) version() int64 {
	if v := f.View(); v != nil && v.Config != nil {
		return v.Config.Version
	}
	return 0
}

func TestNewerVersionsComeIntoForceAndOlderOnesNever(t *testing.T) {
	f, server := follow(t, nil)
	server.State.Put(platform.OperatorTopic, "config", versioned("3"))
	eventually(t, "version 3", func() bool { return f.version() == 3 })
	server.State.Put(platform.OperatorTopic, "config", versioned("2"))
	server.State.Put(platform.OperatorTopic, "config", []byte("{"))
	server.State.Put(platform.OperatorTopic, "evacuate/pnw-a", []byte("{}"))
	eventually(t, "evacuation", func() bool { return f.View().Evacuated["pnw-a"] })
	assert.Equal(t, f.version(), int64(3))
	server.State.Put(platform.OperatorTopic, "evacuate/pnw-a", nil)
	eventually(t, "taken back", func() bool { return !f.View().Evacuated["pnw-a"] })
}

func TestForgottenHistoryIsReadAnew(t *testing.T) {
	f, server := follow(t, nil)
	server.State.Put(platform.OperatorTopic, "config", versioned("1"))
	server.State.Put(platform.OperatorTopic, "evacuate/pnw-a", []byte("{}"))
	eventually(t, "both", func() bool { return f.version() == 1 && f.View().Evacuated["pnw-a"] })
	server.Set(metastore.Faults{Down: true})
	server.State.Put(platform.OperatorTopic, "config", versioned("2"))
	server.State.Put(platform.OperatorTopic, "evacuate/pnw-a", nil)
	server.State.Forget(platform.OperatorTopic)
	server.Set(metastore.Faults{})
	eventually(t, "version 2, nothing evacuated", func() bool { return f.version() == 2 && !f.View().Evacuated["pnw-a"] })
}

func TestPeersHelpWhileTheStoreIsAway(t *testing.T) {
	peers := func(_ context.Context, known int64) (*chervilv2.OperatorReply, error) {
		if known >= 7 {
			return nil, errors.New("nothing newer")
		}
		return &chervilv2.OperatorReply{Offset: 7, Records: []*chervilv2.OperatorRecord{{Offset: 6, Key: "config", Value: versioned("9")}}}, nil
	}
	server := metastore.NewServer(metastore.NewState(), 1)
	server.Set(metastore.Faults{Down: true})
	http := httptest.NewServer(server.Handler(""))
	defer http.Close()
	f := NewFollower(platform.NewStore(strings.TrimPrefix(http.URL, "http://")), peers)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	eventually(t, "version 9", func() bool { return f.version() == 9 })
	assert.Equal(t, f.Since(0).Records[0].Key, "config", "and it passes them on")
}
