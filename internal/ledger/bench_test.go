package ledger_test

import (
	"context"
	"fmt"
	"testing"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
	"chervilridge/internal/standin/logstore"
	"chervilridge/internal/table"

	"google.golang.org/protobuf/proto"
)

// BenchmarkConfigurationChange commits changes one after the other and reports the
// appends and log bytes per change.
func BenchmarkConfigurationChange(b *testing.B) {
	store := logstore.New(logstore.Options{})
	f := ledger.NewFollower(store, table.Stream, shortPoll, table.New)
	c := ledger.NewCommitter(store, f, "entry-1", unlimitedAppends)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	go c.Run(ctx)
	b.ReportAllocs()
	for i := range b.N {
		rec := putRow("a", uint32(i%9+1), uint64(i))
		rec.Author = "operator"
		if v, err := c.Commit(ctx, rec); err != nil || v.Rejection != nil {
			b.Fatal(err, v)
		}
	}
	appends, bytes := store.Totals()
	b.ReportMetric(float64(appends)/float64(b.N), "appends/change")
	b.ReportMetric(float64(bytes)/float64(b.N), "log-B/change")
}

// BenchmarkFileOfRows commits 300 rows concurrently, as an entry does with a file
// of rows.
func BenchmarkFileOfRows(b *testing.B) {
	const rows = 300
	var appends, bytes uint64
	for range b.N {
		store := logstore.New(logstore.Options{})
		f := ledger.NewFollower(store, table.Stream, shortPoll, table.New)
		c := ledger.NewCommitter(store, f, "entry-1", 20)
		ctx, cancel := context.WithCancel(context.Background())
		go f.Run(ctx)
		go c.Run(ctx)
		done := make(chan error, rows)
		for i := range rows {
			go func() {
				_, err := c.Commit(ctx, putRow(fmt.Sprintf("client-%d", i), 1, 0))
				done <- err
			}()
		}
		for range rows {
			if err := <-done; err != nil {
				b.Fatal(err)
			}
		}
		n, size := store.Totals()
		appends, bytes = appends+n, bytes+size
		cancel()
	}
	b.ReportMetric(float64(appends)/float64(b.N), "appends/file")
	b.ReportMetric(float64(bytes)/float64(b.N)/rows, "log-B/row")
}

// BenchmarkReplay decodes and applies records of the table.
func BenchmarkReplay(b *testing.B) {
	const perBatch = 8
	store := logstore.New(logstore.Options{})
	batch := &pb.Batch{}
	for i := range b.N {
		rec := putRow(fmt.Sprintf("client-%d", i%300), 1, 0)
		if i >= 300 {
			rec.GetRowPut().BaseVersion = uint64(i - 300 + 1)
		}
		rec.Id, rec.Author, rec.TimeMs = fmt.Sprintf("%026d", i), "operator", 1
		batch.Records = append(batch.Records, rec)
		if len(batch.Records) == perBatch || i == b.N-1 {
			payload, err := proto.Marshal(batch)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := store.Append(context.Background(), table.Stream, payload); err != nil {
				b.Fatal(err)
			}
			batch = &pb.Batch{}
		}
	}
	f := ledger.NewFollower(store, table.Stream, shortPoll, table.New)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.ReportAllocs()
	b.ResetTimer()
	go f.Run(ctx)
	if err := f.WaitForTail(ctx); err != nil {
		b.Fatal(err)
	}
	b.StopTimer()
	f.View(func(t *table.Table) {
		if t.Version() != uint64(b.N) {
			b.Fatalf("replayed up to version %d, want %d", t.Version(), b.N)
		}
	})
}

// BenchmarkSnapshot encodes the state of tables of growing size.
func BenchmarkSnapshot(b *testing.B) {
	for _, rows := range []int{11, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("rows=%d", rows), func(b *testing.B) {
			store := logstore.New(logstore.Options{})
			batch := &pb.Batch{}
			for i := range rows {
				rec := putRow(fmt.Sprintf("client-%05d", i), 1, 0)
				rec.GetRowPut().Row.Notice = "call the office"
				rec.Id, rec.Author = fmt.Sprintf("%026d", i), "operator"
				batch.Records = append(batch.Records, rec)
			}
			payload, err := proto.Marshal(batch)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = store.Append(context.Background(), table.Stream, payload)
			f := ledger.NewFollower(store, table.Stream, shortPoll, table.New)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go f.Run(ctx)
			if err := f.WaitForTail(ctx); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			var size int
			for b.Loop() {
				state, err := f.Export()
				if err != nil {
					b.Fatal(err)
				}
				size = len(state.Data)
			}
			b.ReportMetric(float64(size), "B/snapshot")
			b.ReportMetric(float64(size)/float64(rows), "B/row")
		})
	}
}
