package scale

import (
	"fmt"
	"iter"
	"slices"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ident"
)

const (
	timeMs       = 1_700_000_000_000
	payloadBytes = 200
	resultBytes  = 100
)

func record() *pb.Record {
	return &pb.Record{Id: ident.New(), Author: "agent-12/01ARZ3NDEKTSV4RRFFQ69G5FAV", Epoch: 1, TimeMs: timeMs}
}

func registrations(workers int) iter.Seq[*pb.Record] {
	return func(yield func(*pb.Record) bool) {
		claim := record()
		claim.Body = &pb.Record_ShardClaim{ShardClaim: &pb.ShardClaim{Epoch: 1, Owner: "agent-1"}}
		if !yield(claim) {
			return
		}
		for i := range workers {
			rec := record()
			rec.Body = &pb.Record_WorkerRegistered{WorkerRegistered: &pb.WorkerRegistered{
				Worker: workerName(i), DataCentre: fmt.Sprintf("dc-%d", i%centres), Rack: fmt.Sprintf("rack-%d", i/perRack),
				Capacity: capacity.Proto(), Address: "10.0.0.1:9000",
			}}
			if !yield(rec) {
				return
			}
		}
	}
}

func workerName(i int) string { return fmt.Sprintf("worker-%05d", i) }

func jobName(i int) string { return fmt.Sprintf("01ARZ3NDEKTSV4RRFF%08d", i) }

func submissions(tasks, perJob int) iter.Seq[*pb.Record] {
	return func(yield func(*pb.Record) bool) {
		for i := range tasks / perJob {
			rec := record()
			rec.Body = &pb.Record_JobSubmitted{JobSubmitted: &pb.JobSubmitted{JobId: jobName(i), Spec: &pb.JobSpec{
				Team: fmt.Sprintf("team-%d", i%teams), JobClass: fmt.Sprintf("class-%d", i%classCount), Tasks: uint32(perJob),
				Resources: &pb.Resources{CpuMilli: 2_000, MemoryMb: 4_000}, DurationMs: 60_000, Payload: make([]byte, payloadBytes), Client: "client-1",
			}}}
			if !yield(rec) {
				return
			}
		}
	}
}

// assignments grants each task on a worker in turn.
func assignments(workers, tasks, perJob int) iter.Seq[*pb.Record] {
	return func(yield func(*pb.Record) bool) {
		for i := range tasks {
			rec := record()
			rec.Body = &pb.Record_TaskAssigned{TaskAssigned: &pb.TaskAssigned{
				JobId: jobName(i / perJob), Index: uint32(i % perJob), Attempt: 1, Worker: workerName(i % workers),
				Reserved: &pb.Resources{CpuMilli: 2_000, MemoryMb: 4_000},
			}}
			if !yield(rec) {
				return
			}
		}
	}
}

// lives grants and finishes each task.
func lives(workers, tasks, perJob int) iter.Seq[*pb.Record] {
	return func(yield func(*pb.Record) bool) {
		for granted := range assignments(workers, tasks, perJob) {
			a := granted.GetTaskAssigned()
			rec := record()
			rec.Body = &pb.Record_TaskFinished{TaskFinished: &pb.TaskFinished{
				JobId: a.JobId, Index: a.Index, Attempt: a.Attempt, Result: make([]byte, resultBytes), RanMs: 61_234, Used: a.Reserved,
			}}
			if !yield(granted) || !yield(rec) {
				return
			}
		}
	}
}

func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}
