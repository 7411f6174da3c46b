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

const waitTimeout = 10 * time.Second

const config = `{"version":%d,"routes":[{"name":"q","hostname":"h","path-prefix":"/q/","backend":"d"}],"services":[{"name":"d"}],"limits":{}}`

func configWithVersion(n string) []byte { return []byte(strings.Replace(config, "%d", n, 1)) }

// startFollower runs a follower on a stand-in store until the test ends.
func startFollower(t *testing.T, peers PeerReader) (*Follower, *metastore.Server) {
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

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s: not within %v", what, waitTimeout)
}

func (f *Follower) configVersion() int64 {
	if v := f.View(); v != nil && v.Config != nil {
		return v.Config.Version
	}
	return 0
}

func TestNewerConfigTakesEffectAndOlderOneIsIgnored(t *testing.T) {
	f, server := startFollower(t, nil)
	server.State.Put(platform.OperatorTopic, "config", configWithVersion("3"))
	waitFor(t, "version 3", func() bool { return f.configVersion() == 3 })
	server.State.Put(platform.OperatorTopic, "config", configWithVersion("2"))
	server.State.Put(platform.OperatorTopic, "config", []byte("{"))
	server.State.Put(platform.OperatorTopic, "evacuate/pnw-a", []byte("{}"))
	waitFor(t, "evacuation", func() bool { return f.View().Evacuated["pnw-a"] })
	assert.Equal(t, f.configVersion(), int64(3))
	server.State.Put(platform.OperatorTopic, "evacuate/pnw-a", nil)
	waitFor(t, "evacuation revoked", func() bool { return !f.View().Evacuated["pnw-a"] })
}

func TestTrimmedLogIsReadFromTheNewestRecords(t *testing.T) {
	f, server := startFollower(t, nil)
	server.State.Put(platform.OperatorTopic, "config", configWithVersion("1"))
	server.State.Put(platform.OperatorTopic, "evacuate/pnw-a", []byte("{}"))
	waitFor(t, "version 1 and the evacuation", func() bool { return f.configVersion() == 1 && f.View().Evacuated["pnw-a"] })
	server.SetFaults(metastore.Faults{Down: true})
	server.State.Put(platform.OperatorTopic, "config", configWithVersion("2"))
	server.State.Put(platform.OperatorTopic, "evacuate/pnw-a", nil)
	server.State.DropHistory(platform.OperatorTopic)
	server.SetFaults(metastore.Faults{})
	waitFor(t, "version 2, nothing evacuated", func() bool { return f.configVersion() == 2 && !f.View().Evacuated["pnw-a"] })
}

func TestRecordsComeFromAPeerWhileTheStoreIsDown(t *testing.T) {
	peers := func(_ context.Context, known int64) (*chervilv2.OperatorReply, error) {
		if known >= 7 {
			return nil, errors.New("nothing newer")
		}
		return &chervilv2.OperatorReply{Offset: 7, Records: []*chervilv2.OperatorRecord{{Offset: 6, Key: "config", Value: configWithVersion("9")}}}, nil
	}
	server := metastore.NewServer(metastore.NewState(), 1)
	server.SetFaults(metastore.Faults{Down: true})
	http := httptest.NewServer(server.Handler(""))
	defer http.Close()
	f := NewFollower(platform.NewStore(strings.TrimPrefix(http.URL, "http://")), peers)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	waitFor(t, "version 9", func() bool { return f.configVersion() == 9 })
	assert.Equal(t, f.RecordsSince(0).Records[0].Key, "config", "the follower passes the records on to other peers")
}
