package heartbeat

import (
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ident"
	"chervilridge/internal/membership"
)

// heartbeatsPerSecond is what an agent sends to each entry with default settings.
const heartbeatsPerSecond = 2

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

func announceRequest(n int, incarnation string) *pb.AnnounceRequest {
	return &pb.AnnounceRequest{
		Healthy: true, Worker: fmt.Sprintf("worker-%d", n), TableVersion: 1000, Running: 4,
		Entries: []string{"10.0.0.1:8081", "10.0.0.2:8081", "10.0.0.3:8081"},
		Endpoint: &pb.Endpoint{
			Agent: fmt.Sprintf("agent-%d", n), Incarnation: incarnation, Address: fmt.Sprintf("10.1.%d.%d:9001", n/250, n%250),
			Service: "quotedesk", Region: "pnw", DataCentre: "pnw-a", Slots: 8, Connections: 64,
		},
	}
}

// BenchmarkAnnounce handles heartbeats of 11, 100 and 500 endpoints of one service in
// turn. It reports the CPU time and message bytes of one heartbeat, and the CPU time and
// bytes a second that the heartbeats of all endpoints cost an entry.
func BenchmarkAnnounce(b *testing.B) {
	for _, endpoints := range []int{11, 100, 500} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			r := membership.NewRegistry(time.Hour, membership.NewEntryDirectory("10.0.0.1:8081", nil), func() uint64 { return 1000 })
			var requests []*pb.AnnounceRequest
			for n := range endpoints {
				requests = append(requests, announceRequest(n, ident.New()))
				requests[n].Sequence = 1
				_, err := r.Announce(b.Context(), requests[n])
				assert.NilError(b, err)
			}
			bytes := 0
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				req := requests[i%endpoints]
				req.Sequence = uint64(i + 2)
				reply, err := r.Announce(b.Context(), req)
				assert.NilError(b, err)
				bytes = proto.Size(req) + proto.Size(reply)
			}
			nanos := float64(b.Elapsed().Nanoseconds()) / float64(b.N)
			b.ReportMetric(float64(bytes), "bytes/heartbeat")
			b.ReportMetric(float64(bytes*endpoints*heartbeatsPerSecond)/1000, "kB/s-entry")
			b.ReportMetric(nanos*float64(endpoints*heartbeatsPerSecond)/1e6, "ms-cpu/s-entry")
		})
	}
}
