package capacity

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ident"
	"chervilridge/internal/ledger"
	"chervilridge/internal/shard"
	"chervilridge/internal/table"
)

const (
	tasksPerJob     = 100
	tasksPerWorker  = 10
	workerCPUMilli  = 32_000
	workerMemoryMB  = 128_000
	payloadBytes    = 200
	resultBytes     = 64
	nanosPerMicro   = 1000.0
	epochUnderTest  = 1
	changesPerTable = 2
)

// script writes records into a machine and counts what they cost.
type script struct {
	machine ledger.Machine
	records int
	bytes   int
	took    time.Duration
}

func (s *script) apply(rec *pb.Record) error {
	rec.Id, rec.Author, rec.Epoch, rec.TimeMs = ident.New(), "agent-1/01ARZ3NDEKTSV4RRFFQ69G5FAV", epochUnderTest, time.Now().UnixMilli()
	payload, err := proto.Marshal(rec)
	if err != nil {
		return err
	}
	s.records++
	s.bytes += len(payload)
	began := time.Now()
	back := &pb.Record{}
	if err := proto.Unmarshal(payload, back); err != nil {
		return err
	}
	if rej := s.machine.Apply(back); rej != nil {
		return rej
	}
	s.took += time.Since(began)
	return nil
}

// Tasks measures a shard's ledger with that many tasks running, and then
// finished.
func Tasks(tasks int) ([]Row, error) {
	before := heap()
	state := shard.New()
	s := &script{machine: state}
	workers := (tasks + tasksPerWorker - 1) / tasksPerWorker
	if err := s.fillWorkers(workers); err != nil {
		return nil, err
	}
	withWorkers := heap()
	setup := *s
	if err := s.runTasks(tasks); err != nil {
		return nil, err
	}
	running := heap()
	snapshot, err := state.Snapshot()
	if err != nil {
		return nil, err
	}
	if err := s.finishTasks(tasks); err != nil {
		return nil, err
	}
	n := float64(tasks)
	records := s.records - setup.records
	return []Row{
		{"task's life: records", tasks, "records", float64(records) / n},
		{"task's life: log bytes", tasks, "bytes", float64(s.bytes-setup.bytes) / n},
		{"record of a shard: replay", tasks, "us", float64((s.took - setup.took).Nanoseconds()) / nanosPerMicro / float64(records)},
		{"running task in the shard's state", tasks, "bytes", float64(running-withWorkers) / n},
		{"worker in the shard's state", workers, "bytes", float64(withWorkers-before) / float64(workers)},
		{"running task in a snapshot", tasks, "bytes", float64(len(snapshot)) / n},
	}, nil
}

func (s *script) fillWorkers(n int) error {
	if err := s.apply(&pb.Record{Body: &pb.Record_ShardClaim{ShardClaim: &pb.ShardClaim{Epoch: epochUnderTest, Owner: "agent-1"}}}); err != nil {
		return err
	}
	for i := range n {
		if err := s.apply(&pb.Record{Body: &pb.Record_WorkerRegistered{WorkerRegistered: &pb.WorkerRegistered{
			Worker: workerName(i), DataCentre: "pnw-a", Rack: "pnw-a-rack-1", Address: "10.0.0.1:9001",
			Capacity: &pb.Resources{CpuMilli: workerCPUMilli, MemoryMb: workerMemoryMB},
		}}}); err != nil {
			return err
		}
	}
	return nil
}

func workerName(i int) string { return fmt.Sprintf("worker-%d", i) }

func jobOf(task int) string { return ident.FromKey("capacity", fmt.Sprint(task/tasksPerJob)) }

func (s *script) runTasks(n int) error {
	need := &pb.Resources{CpuMilli: workerCPUMilli / tasksPerWorker, MemoryMb: workerMemoryMB / tasksPerWorker}
	for first := 0; first < n; first += tasksPerJob {
		if err := s.apply(&pb.Record{Body: &pb.Record_JobSubmitted{JobSubmitted: &pb.JobSubmitted{JobId: jobOf(first), Spec: &pb.JobSpec{
			Team: "cascade", JobClass: "layout-quote", Tasks: uint32(min(tasksPerJob, n-first)), Resources: need,
			DurationMs: 60_000, Payload: make([]byte, payloadBytes),
		}}}}); err != nil {
			return err
		}
	}
	for i := range n {
		if err := s.apply(&pb.Record{Body: &pb.Record_TaskAssigned{TaskAssigned: &pb.TaskAssigned{
			JobId: jobOf(i), Index: uint32(i % tasksPerJob), Attempt: 1, Worker: workerName(i / tasksPerWorker), Reserved: need,
		}}}); err != nil {
			return err
		}
	}
	return nil
}

func (s *script) finishTasks(n int) error {
	for i := range n {
		if err := s.apply(&pb.Record{Body: &pb.Record_TaskFinished{TaskFinished: &pb.TaskFinished{
			JobId: jobOf(i), Index: uint32(i % tasksPerJob), Attempt: 1, Result: make([]byte, resultBytes), RanMs: 60_000,
		}}}); err != nil {
			return err
		}
	}
	return nil
}

// Rows measures a table with that many rows.
func Rows(rows int) ([]Row, error) {
	before := heap()
	t := table.New()
	s := &script{machine: t}
	for change := range changesPerTable {
		for i := range rows {
			name := fmt.Sprintf("client-%d", i)
			base := t.Row(pb.RowKind_ROW_KIND_CLIENT, name).GetVersion()
			rec := &pb.Record{Body: &pb.Record_RowPut{RowPut: &pb.RowPut{BaseVersion: base, Row: &pb.Row{
				Kind: pb.RowKind_ROW_KIND_CLIENT, Name: name, Weight: uint32(change + 1), Limit: 64, Notice: "call the office",
			}}}}
			if err := s.apply(rec); err != nil {
				return nil, err
			}
		}
	}
	held := heap() - before
	snapshot, err := t.Snapshot()
	if err != nil {
		return nil, err
	}
	n := float64(rows)
	return []Row{
		{"table change: log bytes", rows, "bytes", float64(s.bytes) / float64(s.records)},
		{"table change: replay", rows, "us", float64(s.took.Nanoseconds()) / nanosPerMicro / float64(s.records)},
		{"table row in memory", rows, "bytes", float64(held) / n},
		{"table row in a snapshot", rows, "bytes", float64(len(snapshot)) / n},
	}, nil
}
